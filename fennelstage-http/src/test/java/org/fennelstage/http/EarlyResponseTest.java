package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses without a length from a server that has not read its request. The server ends its
 * output, and then reads on or, as {@link Socket#close} does with unread bytes, resets the
 * connection.
 */
class EarlyResponseTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** More than the sockets of a connection hold. */
    private static final int LARGE_BODY_BYTES = 16 << 20;

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\n\r\nbody";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpClient client = new HttpClient(group.next());
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TIMEOUT.toMillis());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<Object> post(final int bodyBytes) {
        final CompletableFuture<Object> end = new CompletableFuture<>();
        final DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/",
                        Unpooled.wrappedBuffer(new byte[bodyBytes]));
        client.eventLoop()
                .execute(
                        () ->
                                client.collect(
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(),
                                                server.getLocalPort()),
                                        request,
                                        CallOptions.of(TIMEOUT, TIMEOUT, true),
                                        end::complete,
                                        end::complete));
        return end;
    }

    private static void respond(final Socket socket) throws IOException {
        socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
    }

    private static Object ended(final CompletableFuture<Object> call) throws Exception {
        return call.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private static void reset(final Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Waits until the client has read what its connections hold now. */
    private void awaitRead() throws Exception {
        final CompletableFuture<Object> call = post(0);
        try (Socket socket = server.accept()) {
            RequestHeads.read(socket);
            respond(socket);
            socket.shutdownOutput();
            assertThat(ended(call)).isInstanceOf(Responses.FullResponse.class);
        }
    }

    /** Responds before the request is read, and waits until the client has read that. */
    private Socket endEarly() throws Exception {
        final Socket socket = server.accept();
        RequestHeads.read(socket);
        respond(socket);
        socket.shutdownOutput();
        awaitRead();
        return socket;
    }

    /** Guards against half of a body that is passed on as a complete one. */
    @ParameterizedTest
    @ValueSource(ints = {200_000, 600_000, 2_500_000, LARGE_BODY_BYTES})
    void aServerThatClosesWithUnreadBytesCompletesNoResponse(final int bodyBytes) throws Exception {
        final CompletableFuture<Object> call = post(bodyBytes);
        try (Socket socket = server.accept()) {
            RequestHeads.read(socket);
            final CountDownLatch closed = new CountDownLatch(1);
            client.eventLoop().execute(() -> await(closed));
            respond(socket);
            socket.close();
            closed.countDown();
            assertThat(ended(call)).isInstanceOf(CallFailure.class);
        }
    }

    private static void await(final CountDownLatch latch) {
        try {
            latch.await();
        } catch (final InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against half of a body that is passed on while its request is still written. */
    @Test
    void aConnectionThatIsResetWhileItsRequestIsStillWrittenCompletesNoResponse() throws Exception {
        final CompletableFuture<Object> call = post(LARGE_BODY_BYTES);
        try (Socket socket = endEarly()) {
            reset(socket);
            assertThat(ended(call)).isInstanceOf(CallFailure.class);
        }
    }

    /** Guards against cutting off the request of a server that responds before it has read it. */
    @Test
    void aServerThatReadsOnAfterItsResponseGetsTheWholeRequest() throws Exception {
        final CompletableFuture<Object> call = post(LARGE_BODY_BYTES);
        try (Socket socket = endEarly()) {
            assertThat(socket.getInputStream().readAllBytes()).hasSize(LARGE_BODY_BYTES);
            assertThat(ended(call)).isInstanceOf(Responses.FullResponse.class);
        }
    }
}
