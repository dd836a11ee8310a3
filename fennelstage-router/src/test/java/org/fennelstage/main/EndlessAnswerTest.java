package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** A model server whose answer has no end. */
class EndlessAnswerTest {

    /** What a VM keeps of an answer as events, and what sockets buffer. */
    private static final long MAX_READ_BYTES = 64L << 20;

    private static final long MAX_SENT_BYTES = 256L << 20;

    private final AtomicLong sentBytes = new AtomicLong();

    /** Guards against a model server that uses up the memory of a VM until the deadline. */
    @Test
    void anAnswerWithoutEndIsGivenUp() throws IOException {
        try (Fleet fleet = new Fleet(1, 1);
                ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            final Thread thread = new Thread(() -> serve(server), "endless-answer");
            thread.setDaemon(true);
            thread.start();
            for (int i = 0; i < 2; i++) {
                fleet.declareServer(
                        "engine-0-" + i,
                        0,
                        server.getLocalPort(),
                        Set.of(Fleet.SMALL_V1),
                        Optional.empty());
            }
            Fleet.await(
                    "the VM to know the servers",
                    () ->
                            fleet.vm(0).configuration().servers(Fleet.SMALL_V1).stream()
                                    .allMatch(s -> s.port() == server.getLocalPort()));
            final Fleet.Response response = fleet.chat(0, "send", "Idempotency-Key", "k1");
            assertThat(response.outcome() + response.body()).contains("longer than a VM keeps");
            assertThat(sentBytes.get()).isLessThan(MAX_READ_BYTES);
        }
    }

    private void serve(final ServerSocket server) {
        final byte[] events =
                ("data: {\"choices\":[{\"delta\":{\"content\":\""
                                + "x".repeat(60_000)
                                + "\"}}]}\n\n")
                        .getBytes(StandardCharsets.US_ASCII);
        while (!server.isClosed()) {
            try (Socket caller = server.accept()) {
                final OutputStream out = caller.getOutputStream();
                caller.getInputStream().read(new byte[4_096]);
                out.write(
                        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                while (sentBytes.get() < MAX_SENT_BYTES) {
                    out.write(events);
                    sentBytes.addAndGet(events.length);
                }
            } catch (final IOException e) {
                // The VM has closed the connection, or the test has closed the server.
                continue;
            }
        }
    }
}
