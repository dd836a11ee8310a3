package org.fennelstage.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class HttpServerTest {

    private static final int TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void stopEventLoop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(US_ASCII);

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

    /** Guards against callers that wait in vain for a request whose handler failed. */
    @ParameterizedTest
    @MethodSource("failures")
    void aRequestWhoseHandlerFailsGetsAnErrorAndTheConnectionServesTheNext(final Throwable failure)
            throws Exception {
        final AtomicInteger told = new AtomicInteger();
        final AtomicBoolean fails = new AtomicBoolean(true);
        final RequestHandler handler =
                exchange -> {
                    exchange.onClosed(told::incrementAndGet);
                    if (fails.getAndSet(false)) {
                        throwUnchecked(failure);
                    }
                    exchange.respond(200, "text/plain", "ok");
                };
        try (HttpServer server = start(handler);
                Socket socket = send(server)) {
            final BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            assertThat(in.readLine()).startsWith("HTTP/1.1 500 ");
            socket.getOutputStream().write(REQUEST);
            String line = in.readLine();
            while (line != null && !line.contains("HTTP/1.1 200 ")) {
                line = in.readLine();
            }
            assertThat(line).contains("HTTP/1.1 200 ");
            assertThat(told).hasValue(1);
        }
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("unexpected"),
                new StackOverflowError(),
                new NoClassDefFoundError("missing"),
                new OutOfMemoryError("Java heap space"));
    }

    private static void throwUnchecked(final Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @Test
    void connectedCallerGetsResponse() throws Exception {
        try (HttpServer server = start(exchange -> exchange.respond(200, "text/plain", "ok"));
                Socket socket = send(server)) {
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            final byte[] status = socket.getInputStream().readNBytes(15);
            assertThat(new String(status, US_ASCII)).isEqualTo("HTTP/1.1 200 OK");
        }
    }

    /** Guards against callers who cannot tell whether a request on a refused connection has run. */
    @Test
    void requestsOnRefusedConnectionsGetAResponseThatTheyWereNotRun() throws Exception {
        final AtomicBoolean refusing = new AtomicBoolean(true);
        final AtomicInteger handled = new AtomicInteger();
        try (HttpServer server =
                start(
                        exchange -> {
                            handled.incrementAndGet();
                            exchange.respond(200, "text/plain", "ok");
                        })) {
            server.refuseConnectionsWhile(refusing::get);
            try (Socket socket = send(server)) {
                socket.getOutputStream().write(REQUEST);
                assertThat(new String(socket.getInputStream().readAllBytes(), US_ASCII))
                        .startsWith("HTTP/1.1 503 ")
                        .containsIgnoringCase("\r\nretry-after: 0\r\n")
                        .containsIgnoringCase("\r\nconnection: close\r\n")
                        .containsOnlyOnce("refused-not-run");
            }
            assertThat(handled).hasValue(0);
            assertThat(server.refusedConnections()).isEqualTo(1);
            refusing.set(false);
            try (Socket socket = send(server)) {
                assertThat(new String(socket.getInputStream().readNBytes(12), US_ASCII))
                        .isEqualTo("HTTP/1.1 200");
            }
        }
    }

    /** Guards against refused connections of callers that send nothing and are never closed. */
    @Test
    void aRefusedConnectionWithoutARequestIsClosed() throws Exception {
        try (HttpServer server = start(exchange -> exchange.respond(200, "text/plain", "ok"))) {
            server.refuseConnectionsWhile(() -> true);
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
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
        final byte[] body = new byte[1 << 19];
        final CompletableFuture<ServerExchange> running = new CompletableFuture<>();
        try (HttpServer server = start(running::complete);
                Socket socket = new Socket()) {
            // The response waits in the server's socket when the connection is closed.
            socket.setReceiveBufferSize(1 << 16);
            socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
            socket.getOutputStream().write(REQUEST);
            final ServerExchange exchange = running.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            server.closeAfterResponses();
            final CountDownLatch blocked = new CountDownLatch(1);
            final CountDownLatch sent = new CountDownLatch(1);
            group.execute(
                    () -> {
                        blocked.countDown();
                        awaitUninterruptibly(sent);
                        exchange.respond(200, Map.of(), body);
                    });
            // The event loop must not read the second request before it responds to the first one.
            blocked.await();
            socket.getOutputStream().write(REQUEST);
            sent.countDown();
            final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (server.openConnections() > 0) {
                assertThat(System.nanoTime()).isLessThan(end);
                group.submit(() -> {}).get();
            }
            assertThat(socket.getInputStream().readAllBytes().length).isGreaterThan(body.length);
        }
    }

    /** Guards against resetting connections whose requests were sent long before the stop. */
    @Test
    void connectionsThatWaitToBeAcceptedAreServedBeforeTheServerStopsAccepting() throws Exception {
        final int callers = 40;
        try (HttpServer server = start(exchange -> exchange.respond(200, "text/plain", "ok"))) {
            final CountDownLatch connected = new CountDownLatch(1);
            group.execute(
                    () -> {
                        awaitUninterruptibly(connected);
                        // Runs after the first connections of the queue were accepted.
                        group.schedule(server::closeIdle, 1, TimeUnit.NANOSECONDS);
                    });
            final List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < callers; i++) {
                sockets.add(send(server));
            }
            connected.countDown();
            for (final Socket socket : sockets) {
                assertThat(new String(socket.getInputStream().readNBytes(12), US_ASCII))
                        .isEqualTo("HTTP/1.1 200");
                socket.close();
            }
        }
    }

    /**
     * Guards against a queue that counts as full after exactly as many as are accepted at a time.
     */
    @Test
    void noConnectionWaitsAfterTheLastOfAFullBatch() throws Exception {
        try (HttpServer server = start(exchange -> exchange.respond(200, "text/plain", "ok"))) {
            final CountDownLatch blocked = new CountDownLatch(1);
            final CountDownLatch connected = new CountDownLatch(1);
            group.execute(
                    () -> {
                        blocked.countDown();
                        awaitUninterruptibly(connected);
                    });
            blocked.await();
            final List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < HttpServer.MAX_ACCEPTED; i++) {
                sockets.add(send(server));
            }
            connected.countDown();
            for (final Socket socket : sockets) {
                assertThat(socket.getInputStream().read()).isEqualTo('H');
            }
            final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (server.hasWaitingConnections()) {
                assertThat(System.nanoTime()).isLessThan(end);
                Thread.onSpinWait();
            }
            for (final Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
