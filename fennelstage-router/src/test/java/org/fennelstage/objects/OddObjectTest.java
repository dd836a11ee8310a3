package org.fennelstage.objects;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.configuration.ConfigurationTable;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.HttpServer;
import org.fennelstage.http.ServerLimits;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.profile.Profile;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Objects and responses of the object API with odd values: one must not hide the others. */
class OddObjectTest {

    private static final List<String> ODD_VALUES =
            List.of(
                    "null",
                    "true",
                    "-1",
                    "1e400",
                    "1e999999999",
                    "99999999999999999999",
                    "\"\"",
                    "\"NaN\"",
                    "\"\\u0000\"",
                    "\"P9223372036854775807S\"",
                    "\"" + "x".repeat(5_000) + "\"",
                    "{}",
                    "[]",
                    "[null]",
                    "[[[[]]]]",
                    "{\"a\":null}",
                    "9".repeat(999));

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    private static Profile profile(final String id) {
        return new Profile(
                ProfileId.of(id),
                List.of(ModelId.of("pero")),
                0.5,
                Duration.ofMillis(1_300),
                Duration.ofSeconds(30),
                true,
                256);
    }

    private static BackendServer server() {
        return new BackendServer(
                BackendServerId.of("odd"),
                DataCentreId.of("dc-a"),
                "127.0.0.1",
                80,
                Set.of(),
                Optional.of(ServiceName.of("portal")),
                8,
                false);
    }

    private static StoredObject stored(
            final DeclarationKind kind, final String id, final byte[] value) {
        return StoredObject.of(Keys.declaration(kind, id), Revision.of(1), value);
    }

    /** Guards against one declaration that ends the reading of all. */
    @Test
    void oneOddDeclarationDoesNotHideTheOthers() throws Exception {
        for (final Map.Entry<DeclarationKind, Object> sound :
                Map.<DeclarationKind, Object>of(
                                DeclarationKind.PROFILE,
                                profile("odd"),
                                DeclarationKind.BACKEND_SERVER,
                                server())
                        .entrySet()) {
            final JsonNode encoded =
                    Json.mapper().readTree(Declarations.encode("c", sound.getValue()));
            final List<String> fields = new ArrayList<>();
            encoded.path("value").fieldNames().forEachRemaining(fields::add);
            for (final String field : fields) {
                for (final String value : ODD_VALUES) {
                    final ObjectNode odd = encoded.deepCopy();
                    ((ObjectNode) odd.path("value")).putRawValue(field, raw(value));
                    assertSoundOnesAreRead(sound.getKey(), Json.write(odd), field + "=" + value);
                }
            }
            for (final String whole :
                    List.of(
                            "",
                            "null",
                            "[]",
                            "{",
                            "{\"value\":",
                            "{\"value\":7}",
                            "[".repeat(100_000),
                            "\u0000")) {
                assertSoundOnesAreRead(
                        sound.getKey(), whole.getBytes(StandardCharsets.UTF_8), whole);
            }
        }
    }

    private static RawValue raw(final String json) {
        return new RawValue(json);
    }

    private static void assertSoundOnesAreRead(
            final DeclarationKind kind, final byte[] odd, final String what) {
        final ConfigurationTable table = ConfigurationTable.empty();
        table.merge(
                List.of(
                        stored(
                                DeclarationKind.PROFILE,
                                "a",
                                Declarations.encode("c", profile("a"))),
                        stored(kind, "odd", odd),
                        stored(
                                DeclarationKind.PROFILE,
                                "z",
                                Declarations.encode("c", profile("z")))));
        assertThat(Declarations.decodeAll(table).configuration().profiles())
                .as(what.substring(0, Math.min(60, what.length())))
                .contains(profile("a"), profile("z"));
    }

    /**
     * Guards against a response for which nobody is told a result: the watch of the configuration
     * then waits for ever.
     */
    @Test
    void everyResponseOfTheObjectApiHasAResult() throws Exception {
        final AtomicReference<String> body = new AtomicReference<>("");
        final AtomicReference<String> revision = new AtomicReference<>("0");
        try (HttpServer server =
                HttpServer.start(
                        group,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.DEFAULT,
                        exchange ->
                                exchange.respond(
                                        200,
                                        Map.of(ObjectApiProtocol.REVISION, revision.get()),
                                        body.get().getBytes(StandardCharsets.UTF_8)))) {
            final ObjectApiClient client =
                    new ObjectApiClient(
                            new HttpClient(group.next()),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()),
                            budget(),
                            Duration.ofSeconds(5));
            for (final String odd :
                    List.of(
                            "",
                            "null",
                            "[]",
                            "7",
                            "{}",
                            "{\"revision\":-1,\"objects\":[]}",
                            "{\"revision\":1}",
                            "{\"revision\":\"x\",\"objects\":[]}",
                            "{\"revision\":1e400,\"objects\":[]}",
                            "{\"revision\":1,\"objects\":null}",
                            "[".repeat(100_000))) {
                body.set(odd);
                assertThat(changes(client))
                        .as(odd.substring(0, Math.min(50, odd.length())))
                        .isInstanceOf(ChangesResult.Unavailable.class);
            }
            for (final String odd :
                    List.of(
                            "null",
                            "7",
                            "[]",
                            "{}",
                            "{\"key\":\"/\",\"revision\":1}",
                            "{\"key\":\"\",\"revision\":1}",
                            "{\"key\":\"a\",\"revision\":-1}",
                            "{\"key\":\"a\",\"revision\":\"x\"}",
                            "{\"key\":\"a\",\"revision\":1,\"value\":7}",
                            "{\"key\":\"a\",\"revision\":1,\"value\":\"%\"}")) {
                body.set(
                        "{\"revision\":9,\"objects\":[{\"key\":\"a/1\",\"revision\":1},%s,{\"key\":\"a/2\",\"revision\":2}]}"
                                .formatted(odd));
                final ChangesResult result = changes(client);
                assertThat(result).as(odd).isInstanceOf(ChangesResult.Changed.class);
                assertThat(((ChangesResult.Changed) result).objects())
                        .as(odd)
                        .extracting(StoredObject::key)
                        .contains(new ObjectKey("a/1"), new ObjectKey("a/2"));
            }
            for (final String odd : List.of("x", "-1", "", "99999999999999999999")) {
                revision.set(odd);
                final ObjectKey key = new ObjectKey("a/1");
                assertThat(get(client.read(key, CallPriority.NORMAL)))
                        .as(odd)
                        .isInstanceOf(ReadResult.Unavailable.class);
                assertThat(get(client.write(key, Revision.NONE, new byte[0], CallPriority.NORMAL)))
                        .as(odd)
                        .isInstanceOf(WriteResult.Unknown.class);
            }
        }
    }

    private static ChangesResult changes(final ObjectApiClient client) throws Exception {
        return get(client.changes("a/", Revision.NONE, Duration.ZERO, CallPriority.NORMAL));
    }

    private static <T> T get(final CompletableFuture<T> future) throws Exception {
        return future.get(5, TimeUnit.SECONDS);
    }

    private static CallBudget budget() {
        return CallBudget.of(InstantSource.system(), 1e6, 1e6);
    }
}
