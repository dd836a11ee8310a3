package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.fennelstage.configuration.Revision;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.objects.Declarations;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MemoryObjectStore;
import org.fennelstage.session.KeyRing;
import org.fennelstage.settings.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** TLS for callers, mutual TLS between VMs, and reloading of changed key files. */
class TlsTest {

    private static final String HOST = "127.0.0.1";
    private static final Path KEYS = Path.of("src", "test", "resources", "tls");

    @Test
    void onlyVmsWithCertificatesOfTheAuthorityJoin() throws IOException {
        try (MemoryObjectStore store = store();
                RouterVm first = start(store, "vm-a", keys("vm-a"), List.of());
                RouterVm second = start(store, "vm-b", keys("vm-b"), List.of(first));
                RouterVm untrusted = start(store, "stranger", keys("stranger"), List.of(first))) {
            Fleet.await(
                    "the VMs of the authority to know each other",
                    () ->
                            first.members().dutyVms().size() == 2
                                    && second.members().dutyVms().size() == 2);
            Fleet.await("the VM with another authority to be ready", untrusted::isReady);
            assertThat(untrusted.members().dutyVms()).containsExactly(VmId.of("stranger"));
            assertThat(first.members().find(VmId.of("stranger"))).isEmpty();
        }
    }

    @Test
    void callersAreServedOverTlsOnly() throws Exception {
        try (MemoryObjectStore store = store();
                RouterVm vm = start(store, "vm-a", keys("vm-a"), List.of())) {
            Fleet.await("the VM to be ready", vm::isReady);
            final HttpResponse<String> response =
                    client().send(
                                    request("https", vm.port()),
                                    HttpResponse.BodyHandlers.ofString());
            assertThat(response.statusCode()).isEqualTo(401);
            assertThatThrownBy(
                            () ->
                                    client().send(
                                                    request("http", vm.port()),
                                                    HttpResponse.BodyHandlers.ofString()))
                    .isInstanceOf(IOException.class);
        }
    }

    /** Guards against key files that are read while they are being replaced. */
    @Test
    void changedKeyFilesAreReloadedAndUnreadableOnesAreIgnored(@TempDir final Path directory)
            throws IOException {
        final Path certificate = copy(directory, "vm-a.pem", "c.pem");
        final Path key = copy(directory, "vm-a.key.pem", "k.pem");
        final TlsContexts contexts =
                TlsContexts.load(new Settings.KeyFiles(certificate, key, Optional.empty()));
        final var before = contexts.server();
        contexts.refresh();
        assertThat(contexts.server()).isEqualTo(before);

        Files.writeString(certificate, "not a certificate");
        touch(certificate, 1);
        contexts.refresh();
        assertThat(contexts.server()).isEqualTo(before);

        copy(directory, "vm-b.pem", "c.pem");
        copy(directory, "vm-b.key.pem", "k.pem");
        touch(certificate, 2);
        contexts.refresh();
        assertThat(contexts.server()).isNotEqualTo(before);
    }

    private static Path copy(final Path directory, final String from, final String to)
            throws IOException {
        return Files.copy(
                KEYS.resolve(from), directory.resolve(to), StandardCopyOption.REPLACE_EXISTING);
    }

    private static void touch(final Path file, final int seconds) throws IOException {
        final FileTime time = Files.getLastModifiedTime(file);
        Files.setLastModifiedTime(file, FileTime.fromMillis(time.toMillis() + seconds * 1000L));
    }

    private static Settings.KeyFiles keys(final String name) {
        return new Settings.KeyFiles(
                KEYS.resolve(name + ".pem"),
                KEYS.resolve(name + ".key.pem"),
                Optional.of(KEYS.resolve("ca.pem")));
    }

    private static MemoryObjectStore store() {
        final MemoryObjectStore store = MemoryObjectStore.empty();
        store.write(
                        Keys.declaration(DeclarationKind.KEY_RING, "sessions"),
                        Revision.NONE,
                        Declarations.encode("test", KeyRing.of("k", "s")),
                        CallPriority.NORMAL)
                .join();
        return store;
    }

    private static RouterVm start(
            final MemoryObjectStore store,
            final String name,
            final Settings.KeyFiles keys,
            final List<RouterVm> seeds)
            throws IOException {
        final Settings.KeyFiles callerKeys =
                new Settings.KeyFiles(keys.certificate(), keys.key(), Optional.empty());
        final Settings settings =
                new Settings(
                        new Settings.Vm(VmId.of(name), DataCentreId.of("dc")),
                        new Settings.Listen(HOST, 0, HOST, 0, 0),
                        new Settings.Platform(
                                new InetSocketAddress(HOST, 1), 100, 100, Duration.ofSeconds(1)),
                        seeds.stream().map(s -> new InetSocketAddress(HOST, s.peerPort())).toList(),
                        new Settings.Limits(16384, 65536, Duration.ofSeconds(30)),
                        new Settings.Claims(4, Duration.ofSeconds(2)),
                        new Settings.Rating(Optional.empty(), 0),
                        new Settings.Tls(Optional.of(callerKeys), Optional.of(keys)),
                        new Settings.Log(false, "warn"),
                        Duration.ofSeconds(1));
        return RouterVm.start(settings, RouterVm.Environment.standard().withStore(store));
    }

    private static HttpRequest request(final String scheme, final int port) {
        return HttpRequest.newBuilder(URI.create(scheme + "://" + HOST + ":" + port + "/v1/models"))
                .timeout(Duration.ofSeconds(10))
                .build();
    }

    /** Returns a client that trusts only the certificate of vm-a. */
    private static HttpClient client() throws GeneralSecurityException, IOException {
        final KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null, null);
        try (InputStream in = Files.newInputStream(KEYS.resolve("vm-a.pem"))) {
            trusted.setCertificateEntry(
                    "vm-a", CertificateFactory.getInstance("X.509").generateCertificate(in));
        }
        final TrustManagerFactory factory =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(trusted);
        final SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, factory.getTrustManagers(), null);
        return HttpClient.newBuilder().sslContext(context).build();
    }
}
