package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {

    private static final int PATIENCE_SECONDS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void stopLoops() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static Socket send(final HttpServer server) throws Exception {
        final Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.getOutputStream()
                .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private HttpServer start(final RequestHandler handler) throws Exception {
        return HttpServer.start(
                group,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                ServerLimits.DEFAULT,
                handler);
    }

    /**
     * Symptom: work is done for callers that are gone. Events: the process stands still; a caller
     * sends its request, gives up and closes; the process goes on. Cause: the request was handled
     * before the end of its connection was read.
     */
    @Test
    void aHandlerLearnsAtOnceThatThePeerLeftBeforeItsRequestWasRead() throws Exception {
        final CompletableFuture<Boolean> left = new CompletableFuture<>();
        try (HttpServer server =
                start(
                        exchange -> {
                            exchange.onClosed(() -> left.complete(true));
                            left.complete(false);
                        })) {
            final CountDownLatch still = new CountDownLatch(1);
            group.execute(
                    () -> {
                        try {
                            still.await();
                        } catch (final InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
            send(server).close();
            still.countDown();
            assertThat(left.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void aPeerThatWaitsIsAnswered() throws Exception {
        try (HttpServer server = start(exchange -> exchange.respond(200, "text/plain", "ok"));
                Socket socket = send(server)) {
            socket.setSoTimeout(PATIENCE_SECONDS * 1_000);
            final byte[] status = socket.getInputStream().readNBytes(15);
            assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200 OK");
        }
    }
}
