package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

/**
 * Requests, responses, broken connections and pauses in random order. The seeds to play are set by
 * {@code -Dorders.seeds=FIRST-LAST}.
 */
class ConnectionOrdersTest {

    private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_BODY_BYTES = 1_000;

    /** More than the sockets of a connection hold. */
    private static final int LARGE_REQUEST_BYTES = 8 << 20;

    private static final ServerLimits LIMITS =
            new ServerLimits(4_096, MAX_BODY_BYTES, Duration.ofMillis(25), TIMEOUT);

    @AfterAll
    static void stop() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static long[] seeds() {
        final String[] range = System.getProperty("orders.seeds", "0-99").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1])).toArray();
    }

    /** What a caller sends, and whether its request may be handled. */
    private enum Sent {
        WHOLE("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", true),
        WITH_BODY("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", true),
        CHUNKED(
                "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\nbody\r\n0\r\n\r\n",
                true),
        MALFORMED("GET /%d HTTP/9\r\nHost: h\r\n\r\n", false),
        UNKNOWN_CODING("POST /%d HTTP/1.1\r\nTransfer-Encoding: x\r\n\r\n", false),
        TOO_LARGE("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", false),
        UNFINISHED("POST /%d HTTP/1.1\r\nHost: h\r\n", false);

        private final String text;
        private final boolean handled;

        Sent(final String text, final boolean handled) {
            this.text = text;
            this.handled = handled;
        }

        private String text(final int number) {
            return text.formatted(number);
        }
    }

    /**
     * Guards against refusals that reach another request's caller, and refused requests that run.
     */
    @Test
    void eachResponseIsThatOfItsRequestAndNothingRefusedIsHandled() throws Exception {
        for (final long seed : seeds()) {
            playRequests(seed);
        }
    }

    private static void playRequests(final long seed) throws Exception {
        final Random random = new Random(seed);
        final Set<String> handled = ConcurrentHashMap.newKeySet();
        final HttpServer server =
                HttpServer.start(
                        GROUP,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> LIMITS,
                        Optional::empty,
                        exchange -> {
                            handled.add(exchange.path());
                            exchange.eventLoop()
                                    .schedule(
                                            () -> respond(exchange, random),
                                            random.nextInt(40),
                                            TimeUnit.MILLISECONDS);
                        });
        final List<Sent> sent = new ArrayList<>();
        final String responses;
        try (server;
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            caller.setSoTimeout((int) TIMEOUT.toMillis());
            sendUntilRefused(caller, random, sent);
            responses =
                    new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
        final List<String> heads =
                responses.lines().filter(line -> line.startsWith("HTTP/1.1 ")).toList();
        assertThat(heads).as("seed %d: %s", seed, sent).hasSize(sent.size());
        for (int i = 0; i < sent.size(); i++) {
            final boolean succeeded = heads.get(i).startsWith("HTTP/1.1 200");
            assertThat(succeeded)
                    .as("seed %d: %d of %s", seed, i, sent)
                    .isEqualTo(sent.get(i).handled);
            assertThat(handled.contains("/" + i)).isEqualTo(sent.get(i).handled);
        }
        assertThat(handled).as("seed %d: %s", seed, sent).hasSize(sent.size() - 1);
    }

    private static void respond(final ServerExchange exchange, final Random random) {
        if (random.nextBoolean()) {
            exchange.respond(200, "text/plain", exchange.path() + "\n");
        } else {
            exchange.begin(200, Map.of());
            exchange.write(Unpooled.copiedBuffer("part\n", StandardCharsets.US_ASCII));
            exchange.end();
        }
    }

    /** Sends some requests, the last of which is refused, and more bytes that must not run. */
    private static void sendUntilRefused(
            final Socket caller, final Random random, final List<Sent> sent) throws Exception {
        final int whole = random.nextInt(4);
        final StringBuilder bytes = new StringBuilder();
        for (int i = 0; i <= whole; i++) {
            final int first = i < whole ? 0 : Sent.MALFORMED.ordinal();
            final int end = i < whole ? Sent.MALFORMED.ordinal() : Sent.values().length;
            final Sent next = Sent.values()[first + random.nextInt(end - first)];
            sent.add(next);
            bytes.append(next.text(i));
        }
        final byte[] all = bytes.toString().getBytes(StandardCharsets.US_ASCII);
        for (int from = 0; from < all.length; ) {
            final int length = Math.min(all.length - from, 1 + random.nextInt(all.length));
            caller.getOutputStream().write(all, from, length);
            from += length;
            if (random.nextInt(4) == 0) {
                pauseLoop(random.nextInt(10));
            }
        }
        if (sent.get(whole) != Sent.UNFINISHED && random.nextBoolean()) {
            sendIgnored(caller);
        }
    }

    private static void sendIgnored(final Socket caller) {
        try {
            caller.getOutputStream()
                    .write("GET /ignored HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } catch (final IOException e) {
            // The server has closed the connection.
        }
    }

    private static void pauseLoop(final int millis) {
        GROUP.execute(
                () -> {
                    try {
                        TimeUnit.MILLISECONDS.sleep(millis);
                    } catch (final InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    /** How a response tells its end. */
    private enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION
    }

    /** What the server does with a response. */
    private record Response(Framing framing, byte[] body, boolean complete, boolean early) {

        private byte[] head() {
            final String end =
                    switch (framing) {
                        case LENGTH -> "Content-Length: " + body.length + "\r\n\r\n";
                        case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
                        case CONNECTION -> "\r\n";
                    };
            return ("HTTP/1.1 200 OK\r\n" + end).getBytes(StandardCharsets.US_ASCII);
        }

        private byte[] bytes() throws IOException {
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head());
            final int length = complete ? body.length : body.length / 2;
            if (framing == Framing.CHUNKS) {
                bytes.write(
                        (Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            bytes.write(body, 0, length);
            if (framing == Framing.CHUNKS) {
                bytes.write(
                        (complete ? "\r\n0\r\n\r\n" : "\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            return bytes.toByteArray();
        }
    }

    /** Guards against a part of a body that looks like a complete one. */
    @Test
    void aResponseThatIsBrokenOffNeverLooksComplete() throws Exception {
        final HttpClient client = new HttpClient(GROUP.next());
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            for (final long seed : seeds()) {
                playResponse(client, listener, seed);
            }
        }
    }

    private static void playResponse(
            final HttpClient client, final ServerSocket listener, final long seed)
            throws Exception {
        final Random random = new Random(seed);
        final byte[] body = new byte[2 + random.nextInt(20_000)];
        random.nextBytes(body);
        final Response response =
                new Response(
                        Framing.values()[random.nextInt(Framing.values().length)],
                        body,
                        random.nextInt(3) == 0,
                        random.nextBoolean());
        final byte[] requestBody = new byte[random.nextBoolean() ? LARGE_REQUEST_BYTES : 100];
        final CompletableFuture<Object> end = new CompletableFuture<>();
        client.eventLoop().execute(() -> send(client, listener, requestBody, end));
        try (Socket socket = listener.accept()) {
            serve(socket, response, requestBody.length, random);
            final Object result = end.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            if (result instanceof Responses.FullResponse full) {
                assertThat(response.complete).as("seed %d: %s", seed, response.framing).isTrue();
                assertThat(full.body()).isEqualTo(body);
            } else {
                final boolean mayFail = !response.complete || response.early;
                assertThat(mayFail).as("seed %d: %s", seed, result).isTrue();
            }
        }
    }

    private static void send(
            final HttpClient client,
            final ServerSocket listener,
            final byte[] body,
            final CompletableFuture<Object> end) {
        client.collect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()),
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(body)),
                CallOptions.of(TIMEOUT, TIMEOUT, true),
                end::complete,
                end::complete);
    }

    /**
     * Responds, and closes the connection as a server does, or resets it as one that crashes. With
     * bytes of the request unread, a close resets it too.
     */
    private static void serve(
            final Socket socket,
            final Response response,
            final int requestBytes,
            final Random random)
            throws Exception {
        final InputStream in = socket.getInputStream();
        readHead(in);
        if (!response.early) {
            in.readNBytes(requestBytes);
        }
        socket.getOutputStream().write(response.bytes());
        if (random.nextBoolean()) {
            GROUP.submit(() -> {}).get();
        }
        final boolean leavesBytes = response.early && requestBytes == LARGE_REQUEST_BYTES;
        if (!response.complete && !(leavesBytes && random.nextBoolean())) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    private static void readHead(final InputStream in) throws IOException {
        int newlines = 0;
        while (newlines < 2) {
            final int next = in.read();
            newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
        }
    }
}
