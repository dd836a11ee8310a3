package org.fennelstage.main;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.settings.Settings;

/**
 * Builds TLS contexts from one set of key files and rebuilds them when the files change.
 *
 * <p>Invariant: if the files cannot be read, the contexts in use stay in place, so an incomplete
 * key rotation does not interrupt connections. Thread-safe.
 */
final class TlsContexts {

    private final Settings.KeyFiles files;
    private final AtomicReference<Loaded> loaded = new AtomicReference<>();

    private record Loaded(SslContext server, SslContext client, long modificationStamp) {}

    private TlsContexts(final Settings.KeyFiles files) {
        this.files = files;
    }

    /**
     * Reads the files.
     *
     * @param files the certificate, the private key and the certificate of the authority
     * @return the contexts
     * @throws IOException if they cannot be read
     */
    static TlsContexts load(final Settings.KeyFiles files) throws IOException {
        final TlsContexts contexts = new TlsContexts(files);
        contexts.loaded.set(contexts.read());
        return contexts;
    }

    Optional<SslContext> server() {
        return Optional.of(loaded.get().server());
    }

    Optional<SslContext> client() {
        return Optional.of(loaded.get().client());
    }

    /** Reads the files again if the modification time of the certificate or the key changed. */
    void refresh() {
        try {
            if (modificationStamp() == loaded.get().modificationStamp()) {
                return;
            }
            loaded.set(read());
            EventLog.write(Event.TLS_RELOADED, "certificate", files.certificate());
        } catch (final IOException e) {
            EventLog.write(Event.TLS_UNREADABLE, "detail", e.getMessage());
        }
    }

    private Loaded read() throws IOException {
        final long modificationStamp = modificationStamp();
        try {
            final SslContextBuilder server =
                    SslContextBuilder.forServer(files.certificate().toFile(), files.key().toFile());
            final SslContextBuilder client =
                    SslContextBuilder.forClient()
                            .endpointIdentificationAlgorithm(null)
                            .keyManager(files.certificate().toFile(), files.key().toFile());
            files.authority()
                    .ifPresent(
                            a -> {
                                server.trustManager(a.toFile()).clientAuth(ClientAuth.REQUIRE);
                                client.trustManager(a.toFile());
                            });
            return new Loaded(server.build(), client.build(), modificationStamp);
        } catch (final IllegalArgumentException e) {
            throw new IOException("invalid key files: " + e.getMessage(), e);
        }
    }

    private long modificationStamp() throws IOException {
        return modifiedMillis(files.certificate()) * 31 + modifiedMillis(files.key());
    }

    private static long modifiedMillis(final Path path) throws IOException {
        return Files.getLastModifiedTime(path).toMillis();
    }
}
