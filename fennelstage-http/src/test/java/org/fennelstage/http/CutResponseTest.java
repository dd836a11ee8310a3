package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Responses of which a server writes only the first bytes, for each number of bytes, and bytes of
 * an earlier response before the one that is due. The seeds to play are set by {@code
 * -Dcuts.seeds=FIRST-LAST}.
 */
class CutResponseTest {

    private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** The end of a connection is noticed well before the timeout of its call. */
    private static final long NOTICED_SECONDS = 10;

    private static final Duration SILENCE = Duration.ofMillis(20);
    private static final int LARGE_BODY_BYTES = 8 << 20;
    private static final int LARGE_BODY_CASES = 24;
    private static final int SILENT_CASES = 3;
    private static final int EXTRA_CASES = 150;

    private static final String ID = "Request-Id";
    private static final String HEADERS = ID + ": r2\r\nSeal: seal-r2\r\n";

    private final HttpClient client = new HttpClient(GROUP.next());
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TIMEOUT.toMillis());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    @AfterAll
    static void stop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static long[] seeds() {
        final String[] range = System.getProperty("cuts.seeds", "0-0").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1])).toArray();
    }

    /** A whole response, and what a caller has of it. */
    private enum Form {
        LENGTH(200, "", "Content-Length: 10\r\n\r\n", "0123456789", "0123456789"),
        CHUNKED(
                200,
                "",
                "Transfer-Encoding: chunked\r\n\r\n",
                "4\r\n0123\r\n6;x=y\r\n456789\r\n0\r\n\r\n",
                "0123456789"),
        TRAILERS(
                200,
                "",
                "Transfer-Encoding: chunked\r\n\r\n",
                "a\r\n0123456789\r\n0\r\nSum: 1\r\n\r\n",
                "0123456789"),
        WITHOUT_LENGTH(200, "", "Content-Type: text/plain\r\n\r\n", "0123456789", "0123456789"),
        TO_HEAD(200, "", "Content-Length: 10\r\n\r\n", "", ""),
        TO_HEAD_CHUNKED(200, "", "Transfer-Encoding: chunked\r\n\r\n", "", ""),
        NO_CONTENT(204, "", "Content-Type: text/plain\r\n\r\n", "", ""),
        NOT_MODIFIED(304, "", "Content-Length: 10\r\n\r\n", "", ""),
        INTERIM(
                200,
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                "Content-Length: 10\r\n\r\n",
                "0123456789",
                "0123456789"),
        INTERIM_WITHOUT_LENGTH(
                200,
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                "Connection: close\r\n\r\n",
                "0123456789",
                "0123456789"),
        FOLDED(200, "", "Note: a\r\n b\r\nContent-Length: 10\r\n\r\n", "0123456789", "0123456789"),
        OTHER_BEFORE(
                200,
                "HTTP/1.1 404 X\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\ngone",
                "Content-Length: 10\r\n\r\n",
                "0123456789",
                "0123456789");

        private final int status;
        private final String head;
        private final String bytes;
        private final String body;

        Form(
                final int status,
                final String before,
                final String headEnd,
                final String framedBody,
                final String body) {
            this.status = status;
            this.head = before + "HTTP/1.1 " + status + " OK\r\n" + HEADERS + headEnd;
            this.bytes = head + framedBody;
            this.body = body;
        }

        private HttpMethod method() {
            return name().startsWith("TO_HEAD") ? HttpMethod.HEAD : HttpMethod.GET;
        }

        private boolean endsWithConnection() {
            return name().endsWith("WITHOUT_LENGTH");
        }

        /** Returns the body that a caller may take for whole, empty if there is none. */
        private Optional<String> wholeBody(final int written, final End end) {
            if (endsWithConnection()) {
                return written >= head.length() && end.closesOutput
                        ? Optional.of(bytes.substring(head.length(), written))
                        : Optional.empty();
            }
            return written == bytes.length() ? Optional.of(body) : Optional.empty();
        }
    }

    /** What the server does after the bytes. */
    private enum End {
        CLOSE(true),
        CLOSE_OUTPUT(true),
        RESET(false),
        SILENCE(false);

        private final boolean closesOutput;

        End(final boolean closesOutput) {
            this.closesOutput = closesOutput;
        }

        private void of(final Socket socket) throws IOException {
            switch (this) {
                case CLOSE -> socket.close();
                case CLOSE_OUTPUT -> socket.shutdownOutput();
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                case SILENCE -> {}
            }
        }
    }

    private CompletableFuture<Object> send(
            final HttpMethod method, final int bodyBytes, final Duration inactivity) {
        return send(method, bodyBytes, inactivity, ConnectionPolicy.pooled());
    }

    private CompletableFuture<Object> send(
            final HttpMethod method,
            final int bodyBytes,
            final Duration inactivity,
            final ConnectionPolicy policy) {
        final CompletableFuture<Object> end = new CompletableFuture<>();
        client.eventLoop()
                .execute(
                        () ->
                                client.collect(
                                        new InetSocketAddress(
                                                InetAddress.getLoopbackAddress(),
                                                server.getLocalPort()),
                                        new DefaultFullHttpRequest(
                                                HttpVersion.HTTP_1_1,
                                                method,
                                                "/",
                                                Unpooled.wrappedBuffer(new byte[bodyBytes])),
                                        new CallOptions(
                                                TIMEOUT,
                                                inactivity,
                                                policy,
                                                headers -> "r2".equals(headers.get(ID))),
                                        end::complete,
                                        end::complete));
        return end;
    }

    private static void write(final Socket socket, final String text) throws IOException {
        if (!text.isEmpty()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static Object ended(final CompletableFuture<Object> call) throws Exception {
        return call.get(NOTICED_SECONDS, TimeUnit.SECONDS);
    }

    /** Completes a call on a new connection, which is kept for the next call. */
    private Socket keptConnection(final String afterResponse) throws Exception {
        closeIdle();
        final CompletableFuture<Object> first = send(HttpMethod.GET, 0, TIMEOUT);
        final Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        RequestHeads.read(socket);
        write(
                socket,
                "HTTP/1.1 200 OK\r\n" + HEADERS + "Content-Length: 2\r\n\r\nok" + afterResponse);
        assertThat(ended(first)).isInstanceOf(Responses.FullResponse.class);
        return socket;
    }

    private static String bodyOf(final Responses.FullResponse response) {
        return new String(response.body(), StandardCharsets.US_ASCII);
    }

    private static void check(
            final Object outcome, final Form form, final int written, final End end) {
        final String what = form + " cut after " + written + " bytes, then " + end;
        final Optional<String> whole = form.wholeBody(written, end);
        if (outcome instanceof Responses.FullResponse response) {
            assertThat(whole).as(what).contains(bodyOf(response));
            assertThat(response.status()).as(what).isEqualTo(form.status);
            assertThat(response.headers().getAll("Seal")).as(what).containsExactly("seal-r2");
            return;
        }
        assertThat(whole.isPresent() && end.closesOutput).as(what).isFalse();
        if (end != End.RESET) {
            assertThat(((CallFailure) outcome).phase())
                    .as(what)
                    .isEqualTo(
                            written < form.head.length()
                                    ? CallFailure.Phase.MAYBE_SENT
                                    : CallFailure.Phase.RESPONDING);
        }
    }

    /** Closes the connections of earlier cases, so that the next call opens one. */
    private void closeIdle() throws Exception {
        final InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        client.eventLoop().submit(() -> client.closeIdle(address)).get();
    }

    private void play(final Form form, final int written, final End end, final boolean kept)
            throws Exception {
        closeIdle();
        final Optional<Socket> used = kept ? Optional.of(keptConnection("")) : Optional.empty();
        final CompletableFuture<Object> call =
                send(form.method(), 0, end == End.SILENCE ? SILENCE : TIMEOUT);
        try (Socket socket = used.isPresent() ? used.get() : server.accept()) {
            RequestHeads.read(socket);
            write(socket, form.bytes.substring(0, written));
            end.of(socket);
            check(ended(call), form, written, end);
        }
    }

    /** Guards against a response that was cut off and looks whole. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void aResponseThatIsCutIsNotTakenForWhole(final Form form) throws Exception {
        for (int written = 0; written <= form.bytes.length(); written++) {
            for (final End end : new End[] {End.CLOSE, End.CLOSE_OUTPUT, End.RESET}) {
                play(form, written, end, false);
                play(form, written, end, true);
            }
        }
    }

    /** Guards against a response whose server falls silent and that looks whole. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void aResponseWhoseServerFallsSilentIsNotTakenForWhole(final Form form) throws Exception {
        for (final long seed : seeds()) {
            final Random random = new Random(seed);
            for (int i = 0; i < SILENT_CASES; i++) {
                play(form, random.nextInt(form.bytes.length() + 1), End.SILENCE, i % 2 == 0);
            }
        }
    }

    /** Guards against a response that looks whole because its request could not be written. */
    @Test
    void aResponseThatIsCutWhileItsRequestIsSentIsNotTakenForWhole() throws Exception {
        for (final long seed : seeds()) {
            final Random random = new Random(seed);
            for (int i = 0; i < LARGE_BODY_CASES; i++) {
                final Form form = Form.values()[random.nextInt(Form.values().length)];
                final int written = random.nextInt(form.bytes.length() + 1);
                final End end = random.nextBoolean() ? End.RESET : End.CLOSE_OUTPUT;
                closeIdle();
                final CompletableFuture<Object> call =
                        send(form.method(), LARGE_BODY_BYTES, TIMEOUT);
                try (Socket socket = server.accept()) {
                    RequestHeads.read(socket);
                    write(socket, form.bytes.substring(0, written));
                    end.of(socket);
                    if (end == End.CLOSE_OUTPUT) {
                        readOn(socket);
                    }
                    check(ended(call), form, written, end);
                }
            }
        }
    }

    /** Reads until the client has closed the connection. */
    private static void readOn(final Socket socket) {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (final IOException e) {
            // The client has closed it with bytes unread.
            assertThat(socket.isClosed()).isFalse();
        }
    }

    /** When the bytes of another response arrive on a kept connection. */
    private enum Arrival {
        WITH_THE_RESPONSE_BEFORE,
        WHILE_IDLE,
        AFTER_THE_REQUEST
    }

    private static final String EXTRA =
            "HTTP/1.1 200 OK\r\nNote: n\r\nSeal: seal-r1\r\nContent-Length: 4\r\n\r\nmore";
    private static final String DUE =
            "HTTP/1.1 404 Not Found\r\n" + HEADERS + "Content-Length: 7\r\n\r\nmissing";

    /** Guards against a response that gets the status or headers of another one that was cut. */
    @ParameterizedTest
    @EnumSource(Arrival.class)
    void theCutHeadOfAnotherResponseDoesNotBecomePartOfTheResponseThatIsDue(final Arrival arrival)
            throws Exception {
        for (int written = 1; written <= EXTRA.length(); written++) {
            playExtra(arrival, EXTRA.substring(0, written));
        }
    }

    /** Guards against bytes of no response that change the response that is due. */
    @ParameterizedTest
    @EnumSource(Arrival.class)
    void randomBytesBeforeAResponseDoNotBecomePartOfIt(final Arrival arrival) throws Exception {
        final String[] parts = {
            "HTTP/1.1", " ", "200", "404", "OK", "\r\n", "\n", "\r", "Note", ":", "n", "0", "x"
        };
        for (final long seed : seeds()) {
            final Random random = new Random(seed);
            for (int i = 0; i < EXTRA_CASES; i++) {
                final StringBuilder extra =
                        new StringBuilder(random.nextBoolean() ? "HTTP/1.1 200 " : "");
                IntStream.rangeClosed(0, random.nextInt(12))
                        .forEach(p -> extra.append(parts[random.nextInt(parts.length)]));
                playExtra(arrival, extra.toString());
            }
        }
    }

    /**
     * Waits until the client has read what was written before: bytes that arrive later on another
     * connection are selected with them or after them.
     */
    private void awaitRead() throws Exception {
        final CompletableFuture<Object> call =
                send(HttpMethod.GET, 0, TIMEOUT, ConnectionPolicy.dedicated());
        try (Socket socket = server.accept()) {
            RequestHeads.read(socket);
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\n"
                            + HEADERS
                            + "Connection: close\r\nContent-Length: 0\r\n\r\n");
            ended(call);
        }
        client.eventLoop().submit(() -> {}).get();
    }

    /** Returns the connection on which the next request arrives, once its head is read. */
    private Socket connectionOf(final Socket kept) throws IOException {
        try {
            RequestHeads.read(kept);
            return kept;
        } catch (final IOException e) {
            final Socket opened = server.accept();
            RequestHeads.read(opened);
            return opened;
        }
    }

    private void playExtra(final Arrival arrival, final String extra) throws Exception {
        final String what = arrival + " '" + extra + "'";
        final boolean withResponse = arrival == Arrival.WITH_THE_RESPONSE_BEFORE;
        try (Socket kept = keptConnection(withResponse ? extra : "")) {
            if (arrival == Arrival.WHILE_IDLE) {
                write(kept, extra);
                awaitRead();
            }
            final CompletableFuture<Object> call = send(HttpMethod.GET, 0, TIMEOUT);
            try (Socket socket = connectionOf(kept)) {
                if (arrival == Arrival.AFTER_THE_REQUEST) {
                    write(socket, extra);
                }
                write(socket, DUE);
                socket.shutdownOutput();
                final Object outcome = ended(call);
                if (arrival != Arrival.AFTER_THE_REQUEST) {
                    assertThat(outcome).as(what).isInstanceOf(Responses.FullResponse.class);
                }
                if (outcome instanceof Responses.FullResponse response) {
                    assertThat(response.status()).as(what).isEqualTo(404);
                    assertThat(bodyOf(response)).as(what).isEqualTo("missing");
                    assertThat(response.headers().size()).as(what).isEqualTo(3);
                    assertThat(response.headers().get("Seal")).as(what).isEqualTo("seal-r2");
                }
            }
        }
    }
}
