package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpClientTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int LOST_CONNECTIONS = 10;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpClient client = new HttpClient(group.next());
    private final List<Socket> accepted = new ArrayList<>();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        for (final Socket socket : accepted) {
            socket.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a request; completes with a {@code Responses.FullResponse} or a {@code CallFailure}.
     */
    private CompletableFuture<Object> send(final boolean newConnection) {
        return send(CallOptions.of(TIMEOUT, TIMEOUT, newConnection));
    }

    private CompletableFuture<Object> send(final ConnectionPolicy policy) {
        return send(new CallOptions(TIMEOUT, TIMEOUT, policy, headers -> true));
    }

    private CompletableFuture<Object> send(final CallOptions options) {
        final CompletableFuture<Object> end = new CompletableFuture<>();
        client.eventLoop()
                .execute(
                        () ->
                                client.collect(
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(),
                                                server.getLocalPort()),
                                        new DefaultFullHttpRequest(
                                                HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                        options,
                                        end::complete,
                                        end::complete));
        return end;
    }

    private Socket accept() throws IOException {
        final Socket socket = server.accept();
        accepted.add(socket);
        return socket;
    }

    private static void readHead(final Socket socket) throws IOException {
        final BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
    }

    private static void respond(final Socket socket) throws IOException {
        readHead(socket);
        socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
    }

    private Socket completeCallOnNewConnection() throws Exception {
        final CompletableFuture<Object> first = send(false);
        final Socket socket = accept();
        respond(socket);
        assertThat(first.get()).isInstanceOf(Responses.FullResponse.class);
        return socket;
    }

    /** Guards against counting a failure on a stale idle connection against its server. */
    @Test
    void failureReportsWhetherTheConnectionWasReused() throws Exception {
        final Socket kept = completeCallOnNewConnection();
        final CompletableFuture<Object> second = send(false);
        readHead(kept);
        kept.close();
        assertThat(second.get())
                .isInstanceOfSatisfying(
                        CallFailure.class, f -> assertThat(f.reusedConnection()).isTrue());

        final CompletableFuture<Object> third = send(false);
        final Socket opened = accept();
        readHead(opened);
        opened.close();
        assertThat(third.get())
                .isInstanceOfSatisfying(
                        CallFailure.class, f -> assertThat(f.reusedConnection()).isFalse());
    }

    /**
     * Guards against unknown outcomes: a request that must not be sent twice must not fail because
     * its idle connection was stale.
     */
    @Test
    void callWithDedicatedConnectionDoesNotReuseIdleConnections() throws Exception {
        final Socket kept = completeCallOnNewConnection();
        final CompletableFuture<Object> own = send(true);
        final Socket second = accept();
        respond(second);
        assertThat(own.get()).isInstanceOf(Responses.FullResponse.class);

        final List<CompletableFuture<Object>> next = List.of(send(false), send(false));
        respond(kept);
        respond(second);
        assertThat(next.get(0).get()).isInstanceOf(Responses.FullResponse.class);
        assertThat(next.get(1).get()).isInstanceOf(Responses.FullResponse.class);
        assertThat(client.connectionsOpened()).isEqualTo(2);
    }

    /**
     * Guards against unknown outcomes: a request must not be sent before a server at its connection
     * limit has reset the new connection.
     */
    @Test
    void callWithFirstUseDelayIsNotSentWhenTheServerResetsTheConnection() throws Exception {
        final ConnectionPolicy delayed =
                new ConnectionPolicy(Duration.ZERO, 1, Duration.ofMillis(300));
        final CompletableFuture<Object> call = send(delayed);
        final Socket full = accept();
        full.setSoLinger(true, 0);
        full.close();
        assertThat(call.get())
                .isInstanceOfSatisfying(
                        CallFailure.class,
                        f -> {
                            assertThat(f.phase()).isEqualTo(CallFailure.Phase.CONNECTION_REJECTED);
                            assertThat(f.notSent()).isTrue();
                        });
    }

    /** Guards against idle connections that use up the server's connection limit. */
    @Test
    void idleConnectionsAreLimitedByThePolicy() throws Exception {
        final ConnectionPolicy one = new ConnectionPolicy(TIMEOUT, 1, Duration.ZERO);
        final List<CompletableFuture<Object>> calls = List.of(send(one), send(one));
        final List<Socket> sockets = List.of(accept(), accept());
        for (final Socket socket : sockets) {
            respond(socket);
        }
        for (final CompletableFuture<Object> call : calls) {
            assertThat(call.get()).isInstanceOf(Responses.FullResponse.class);
        }
        final CompletableFuture<Object> third = send(one);
        int closed = 0;
        for (final Socket socket : sockets) {
            if (socket.getInputStream().read() < 0) {
                closed++;
            } else {
                socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
            }
        }
        assertThat(closed).isEqualTo(1);
        assertThat(third.get()).isInstanceOf(Responses.FullResponse.class);
        assertThat(client.connectionsOpened()).isEqualTo(2);
    }

    private ProbeResult probe(final InetSocketAddress address) throws Exception {
        final CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        final ConnectionPolicy policy = ConnectionPolicy.pooled();
        client.eventLoop().execute(() -> client.probe(address, TIMEOUT, policy, result::complete));
        return result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Test
    void probeConnectionIsReusedByTheNextCall() throws Exception {
        assertThat(probe(new InetSocketAddress(server.getInetAddress(), server.getLocalPort())))
                .isEqualTo(ProbeResult.ACCEPTED);
        final CompletableFuture<Object> end = send(false);
        final Socket socket = accept();
        readHead(socket);
        socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
        assertThat(end.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                .isInstanceOf(Responses.FullResponse.class);
        assertThat(client.connectionsOpened()).isEqualTo(1);
    }

    @Test
    void probeReportsThatTheServerClosedTheConnectionAtOnce() throws Exception {
        final CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        final ConnectionPolicy delayed = new ConnectionPolicy(TIMEOUT, 1, Duration.ofMillis(300));
        client.eventLoop()
                .execute(
                        () ->
                                client.probe(
                                        new InetSocketAddress(
                                                server.getInetAddress(), server.getLocalPort()),
                                        TIMEOUT,
                                        delayed,
                                        result::complete));
        accept().close();
        assertThat(result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                .isEqualTo(ProbeResult.CLOSED);
    }

    @Test
    void probeReportsRefusedConnection() throws Exception {
        final InetSocketAddress address =
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        server.close();
        assertThat(probe(address)).isEqualTo(ProbeResult.REFUSED);
    }

    @Test
    void probeReportsThatTheServerDoesNotRespond() throws Exception {
        assertThat(probeFullServer(() -> {})).isEqualTo(ProbeResult.NO_RESPONSE);
    }

    /** Guards against taking a pause of this process for a server that cannot be reached. */
    @Test
    void aConnectTimeoutThatIsNoticedAfterAPauseDoesNotMakeTheServerUnreachable() throws Exception {
        final ProbeResult result =
                probeFullServer(() -> LockSupport.parkNanos(Duration.ofMillis(600).toNanos()));
        assertThat(result).isEqualTo(ProbeResult.CLOSED);
    }

    /**
     * Probes a server that accepts no more connections, with a connect timeout of 100 ms.
     *
     * @param pause runs on the event loop while the connection is being opened
     */
    private ProbeResult probeFullServer(final Runnable pause) throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            final InetSocketAddress address =
                    new InetSocketAddress(full.getInetAddress(), full.getLocalPort());
            fill(address);
            final CompletableFuture<ProbeResult> result = new CompletableFuture<>();
            final Duration timeout = Duration.ofMillis(100);
            client.eventLoop()
                    .execute(
                            () -> {
                                client.probe(
                                        address,
                                        timeout,
                                        ConnectionPolicy.pooled(),
                                        result::complete);
                                pause.run();
                            });
            return result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Opens connections until the server accepts no more. */
    private void fill(final InetSocketAddress address) throws IOException {
        while (true) {
            final Socket socket = new Socket();
            accepted.add(socket);
            try {
                socket.connect(address, 200);
            } catch (final SocketTimeoutException e) {
                return;
            }
        }
    }

    /** Sends a request; completes with the time between sending and writing it. */
    private CompletableFuture<Duration> timeUntilWritten(final CallOptions options) {
        final CompletableFuture<Duration> result = new CompletableFuture<>();
        client.eventLoop().execute(() -> sendAndMeasure(options, result));
        return result;
    }

    private void sendAndMeasure(
            final CallOptions options, final CompletableFuture<Duration> result) {
        final InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        final DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        final AtomicReference<Call> call = new AtomicReference<>();
        final long sentNanos = System.nanoTime();
        call.set(
                client.collect(
                        address,
                        request,
                        options,
                        whole -> {
                            final Duration sinceWritten = call.get().sinceWritten().orElseThrow();
                            final Duration total = Duration.ofNanos(System.nanoTime() - sentNanos);
                            result.complete(total.minus(sinceWritten));
                        },
                        failure -> result.completeExceptionally(new IOException("" + failure))));
    }

    /** Guards against taking the time to open a connection for time at the server. */
    @Test
    void theTimeSinceTheRequestWasWrittenExcludesTheDelayOfANewConnection() throws Exception {
        final Duration delay = Duration.ofMillis(200);
        final ConnectionPolicy policy = new ConnectionPolicy(Duration.ZERO, 0, delay);
        final CompletableFuture<Duration> untilWritten =
                timeUntilWritten(new CallOptions(TIMEOUT, TIMEOUT, policy, headers -> true));
        final Socket socket = accept();
        readHead(socket);
        socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
        assertThat(untilWritten.get(10, TimeUnit.SECONDS)).isGreaterThanOrEqualTo(delay);
    }

    /** Guards against half of a body that is passed on as a complete one. */
    @Test
    void aConnectionThatIsLostWhileTheRequestIsWrittenDoesNotEndABody() throws Exception {
        for (int i = 0; i < LOST_CONNECTIONS; i++) {
            final CompletableFuture<Object> end = new CompletableFuture<>();
            final DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.POST,
                            "/",
                            Unpooled.wrappedBuffer(new byte[16 << 20]));
            client.eventLoop().execute(() -> send(request, end));
            final Socket socket = accept();
            readHead(socket);
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII));
            client.eventLoop().submit(() -> {}).get();
            socket.setSoLinger(true, 0);
            socket.close();
            assertThat(end.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                    .isInstanceOf(CallFailure.class);
        }
    }

    private void send(final DefaultFullHttpRequest request, final CompletableFuture<Object> end) {
        client.collect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                request,
                CallOptions.of(TIMEOUT, TIMEOUT, true),
                end::complete,
                end::complete);
    }

    @Test
    void theEndOfAnOrderlyConnectionEndsABody() throws Exception {
        final CompletableFuture<Object> call = send(true);
        final Socket socket = accept();
        readHead(socket);
        socket.getOutputStream()
                .write("HTTP/1.1 200 OK\r\n\r\nwhole".getBytes(StandardCharsets.US_ASCII));
        socket.close();
        assertThat(call.get()).isInstanceOf(Responses.FullResponse.class);
    }
}
