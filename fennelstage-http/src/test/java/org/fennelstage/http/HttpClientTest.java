package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpClientTest {

    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

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

    /** Asks and returns what came: a {@code Responses.Whole} or a {@code CallFailure}. */
    private CompletableFuture<Object> ask(final boolean freshConnection) {
        return ask(CallOptions.of(PATIENCE, PATIENCE, freshConnection));
    }

    private CompletableFuture<Object> ask(final ConnectionPolicy use) {
        return ask(new CallOptions(PATIENCE, PATIENCE, use, headers -> true));
    }

    private CompletableFuture<Object> ask(final CallOptions options) {
        final CompletableFuture<Object> end = new CompletableFuture<>();
        client.eventLoop()
                .execute(
                        () ->
                                client.send(
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(),
                                                server.getLocalPort()),
                                        new DefaultFullHttpRequest(
                                                HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                        options,
                                        Responses.collecting(end::complete, end::complete)));
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

    private static void answer(final Socket socket) throws IOException {
        readHead(socket);
        socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
    }

    private Socket answerOneOnANewConnection() throws Exception {
        final CompletableFuture<Object> first = ask(false);
        final Socket socket = accept();
        answer(socket);
        assertThat(first.get()).isInstanceOf(Responses.Whole.class);
        return socket;
    }

    /**
     * Symptom: a sound server is left out. Events: it drops a connection that rested, and the next
     * request on it is reset. Cause: the reset was held against the server.
     */
    @Test
    void aFailureOnAKeptConnectionIsToldFromOneOnANewConnection() throws Exception {
        final Socket kept = answerOneOnANewConnection();
        final CompletableFuture<Object> second = ask(false);
        readHead(kept);
        kept.close();
        assertThat(second.get())
                .isInstanceOfSatisfying(
                        CallFailure.class, f -> assertThat(f.reusedConnection()).isTrue());

        final CompletableFuture<Object> third = ask(false);
        final Socket opened = accept();
        readHead(opened);
        opened.close();
        assertThat(third.get())
                .isInstanceOfSatisfying(
                        CallFailure.class, f -> assertThat(f.reusedConnection()).isFalse());
    }

    /**
     * Symptom: a payment's outcome is unknown though all servers are sound. Events: as above.
     * Cause: a request that must not be repeated went out on a connection that had rested.
     */
    @Test
    void aCallThatNeedsAConnectionOfItsOwnLeavesKeptOnesAlone() throws Exception {
        final Socket kept = answerOneOnANewConnection();
        final CompletableFuture<Object> own = ask(true);
        final Socket second = accept();
        answer(second);
        assertThat(own.get()).isInstanceOf(Responses.Whole.class);

        final List<CompletableFuture<Object>> next = List.of(ask(false), ask(false));
        answer(kept);
        answer(second);
        assertThat(next.get(0).get()).isInstanceOf(Responses.Whole.class);
        assertThat(next.get(1).get()).isInstanceOf(Responses.Whole.class);
        assertThat(client.connectionsOpened()).isEqualTo(2);
    }

    /**
     * Symptom: a payment's outcome is unknown though it never ran. Events: its server has as many
     * connections as it accepts, takes a further one and resets it. Cause: the request was sent as
     * soon as the connection stood.
     */
    @Test
    void aCallThatWaitsForItsNewConnectionToSettleKnowsThatAServerTurnedItAway() throws Exception {
        final ConnectionPolicy settling =
                new ConnectionPolicy(Duration.ZERO, 1, Duration.ofMillis(300));
        final CompletableFuture<Object> call = ask(settling);
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

    /** Symptom: see {@code ConnectionShareTest}; what is not kept is closed at the call's end. */
    @Test
    void noMoreConnectionsAreKeptThanTheCallAllows() throws Exception {
        final ConnectionPolicy one = new ConnectionPolicy(PATIENCE, 1, Duration.ZERO);
        final List<CompletableFuture<Object>> calls = List.of(ask(one), ask(one));
        final List<Socket> sockets = List.of(accept(), accept());
        for (final Socket socket : sockets) {
            answer(socket);
        }
        for (final CompletableFuture<Object> call : calls) {
            assertThat(call.get()).isInstanceOf(Responses.Whole.class);
        }
        final CompletableFuture<Object> third = ask(one);
        int closed = 0;
        for (final Socket socket : sockets) {
            if (socket.getInputStream().read() < 0) {
                closed++;
            } else {
                socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
            }
        }
        assertThat(closed).isEqualTo(1);
        assertThat(third.get()).isInstanceOf(Responses.Whole.class);
        assertThat(client.connectionsOpened()).isEqualTo(2);
    }

    private ProbeResult probe(final InetSocketAddress address) throws Exception {
        final CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        final ConnectionPolicy use = ConnectionPolicy.pooled();
        client.eventLoop().execute(() -> client.probe(address, PATIENCE, use, result::complete));
        return result.get(PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Test
    void aServerThatListensIsFoundAndItsConnectionCarriesTheNextCall() throws Exception {
        assertThat(probe(new InetSocketAddress(server.getInetAddress(), server.getLocalPort())))
                .isEqualTo(ProbeResult.ACCEPTED);
        final CompletableFuture<Object> end = ask(false);
        final Socket socket = accept();
        readHead(socket);
        socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
        assertThat(end.get(PATIENCE.toMillis(), TimeUnit.MILLISECONDS))
                .isInstanceOf(Responses.Whole.class);
        assertThat(client.connectionsOpened()).isEqualTo(1);
    }

    @Test
    void aServerThatClosesAProbesConnectionAtOnceTurnsItAway() throws Exception {
        final CompletableFuture<ProbeResult> result = new CompletableFuture<>();
        final ConnectionPolicy settling = new ConnectionPolicy(PATIENCE, 1, Duration.ofMillis(300));
        client.eventLoop()
                .execute(
                        () ->
                                client.probe(
                                        new InetSocketAddress(
                                                server.getInetAddress(), server.getLocalPort()),
                                        PATIENCE,
                                        settling,
                                        result::complete));
        accept().close();
        assertThat(result.get(PATIENCE.toMillis(), TimeUnit.MILLISECONDS))
                .isEqualTo(ProbeResult.TURNED_AWAY);
    }

    @Test
    void anAddressWhereNobodyListensRefuses() throws Exception {
        final InetSocketAddress address =
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        server.close();
        assertThat(probe(address)).isEqualTo(ProbeResult.REFUSED);
    }
}
