package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {

    private static final int TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static Socket send(final HttpServer server) throws Exception {
        final Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
        socket.getOutputStream().write(REQUEST);
        return socket;
    }

    private static void awaitUninterruptibly(final CountDownLatch latch) {
        try {
            latch.await();
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpServer start(final RequestHandler handler) throws Exception {
        return HttpServer.start(
                group,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                ServerLimits.DEFAULT,
                handler);
    }

    /**
     * Guards against running requests whose caller has disconnected: the close must be read before
     * the request is handled.
     */
    @Test
    void handlerSeesThatTheCallerDisconnectedBeforeItsRequestWasRead() throws Exception {
        final CompletableFuture<Boolean> disconnected = new CompletableFuture<>();
        try (HttpServer server =
                start(
                        exchange -> {
                            exchange.onClosed(() -> disconnected.complete(true));
                            disconnected.complete(false);
                        })) {
            final CountDownLatch loopBlocked = new CountDownLatch(1);
            group.execute(
                    () -> {
                        try {
                            loopBlocked.await();
                        } catch (final InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
            send(server).close();
            loopBlocked.countDown();
            assertThat(disconnected.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void connectedCallerGetsResponse() throws Exception {
        try (HttpServer server = start(exchange -> exchange.respond(200, "text/plain", "ok"));
                Socket socket = send(server)) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            final byte[] status = socket.getInputStream().readNBytes(15);
            assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200 OK");
        }
    }

    /** Guards against reading a request that a server will not handle in time. */
    @Test
    void refusedConnectionsAreClosedUnread() throws Exception {
        final AtomicBoolean refusing = new AtomicBoolean(true);
        final AtomicInteger handled = new AtomicInteger();
        try (HttpServer server =
                start(
                        exchange -> {
                            handled.incrementAndGet();
                            exchange.respond(200, "text/plain", "ok");
                        })) {
            server.refuseConnectionsWhile(refusing::get);
            assertThat(isAnswered(server)).isFalse();
            assertThat(handled).hasValue(0);
            refusing.set(false);
            assertThat(isAnswered(server)).isTrue();
        }
    }

    private static boolean isAnswered(final HttpServer server) {
        try (Socket socket = send(server)) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            return socket.getInputStream().read() >= 0;
        } catch (final IOException e) {
            return false;
        } catch (final Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against a process that exits while a caller still reads a response slowly. */
    @Test
    void aResponseCountsAsUnwrittenUntilItsCallerHasReadEnough() throws Exception {
        final byte[] body = new byte[32 << 20];
        final CompletableFuture<Void> responded = new CompletableFuture<>();
        try (HttpServer server =
                        start(
                                exchange -> {
                                    exchange.respond(200, Map.of(), body);
                                    responded.complete(null);
                                });
                Socket socket = send(server)) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            responded.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(server.unwrittenResponses()).isEqualTo(1);
            socket.getInputStream().readNBytes(body.length);
            group.submit(() -> {}).get();
            assertThat(server.unwrittenResponses()).isZero();
        }
    }

    /** Guards against a process that waits for a caller who is gone. */
    @Test
    void aResponseWhoseCallerIsGoneIsNotUnwritten() throws Exception {
        final CompletableFuture<Void> closed = new CompletableFuture<>();
        try (HttpServer server =
                start(
                        exchange -> {
                            exchange.respond(200, Map.of(), new byte[32 << 20]);
                            closed.complete(null);
                        })) {
            final Socket socket = send(server);
            closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            socket.setSoLinger(true, 0);
            socket.close();
            final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (server.unwrittenResponses() > 0 && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertThat(server.unwrittenResponses()).isZero();
        }
    }

    /** Guards against a reset that discards a response because later bytes are unread. */
    @Test
    void aResponseReachesItsCallerThoughMoreBytesFollowItsRequest() throws Exception {
        final byte[] body = new byte[1 << 16];
        final CompletableFuture<ServerExchange> running = new CompletableFuture<>();
        try (HttpServer server = start(running::complete);
                Socket socket = new Socket()) {
            // The response waits in the server's socket when the connection is closed.
            socket.setReceiveBufferSize(1 << 12);
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
            socket.getOutputStream().write(REQUEST);
            final ServerExchange exchange = running.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            server.closeAfterResponses();
            final CountDownLatch sent = new CountDownLatch(1);
            group.execute(
                    () -> {
                        awaitUninterruptibly(sent);
                        exchange.respond(200, Map.of(), body);
                    });
            socket.getOutputStream().write(REQUEST);
            sent.countDown();
            assertThat(socket.getInputStream().readAllBytes().length).isGreaterThan(body.length);
        }
    }
}
