package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests whose bodies share less memory than all of them take. */
class BodyMemoryTest {

    private static final int BODY_BYTES = 60_000;
    private static final long TOTAL_BYTES = 100_000;
    private static final ServerLimits LIMITS =
            new ServerLimits(16_384, 65_536, Duration.ofSeconds(10), Duration.ofSeconds(10));

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong taken = new AtomicLong();
    private final BlockingQueue<ServerExchange> handled = new ArrayBlockingQueue<>(10);
    private final List<Socket> callers = new ArrayList<>();
    private HttpServer server;

    @BeforeEach
    void start() throws IOException {
        final SharedMemory memory =
                new SharedMemory() {
                    @Override
                    public boolean tryTake(final long bytes) {
                        if (taken.get() + bytes > TOTAL_BYTES) {
                            return false;
                        }
                        taken.addAndGet(bytes);
                        return true;
                    }

                    @Override
                    public void giveBack(final long bytes) {
                        taken.addAndGet(-bytes);
                    }
                };
        server =
                HttpServer.start(
                        group,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> LIMITS,
                        Optional::empty,
                        memory,
                        handled::add);
    }

    @AfterEach
    void stop() throws IOException {
        for (final Socket caller : callers) {
            caller.close();
        }
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private Socket send(final Socket caller) throws IOException {
        final String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES;
        final String request = head + "\r\n\r\n" + "x".repeat(BODY_BYTES);
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return caller;
    }

    private Socket connect() throws IOException {
        callers.add(new Socket(InetAddress.getLoopbackAddress(), server.port()));
        return callers.get(callers.size() - 1);
    }

    private static String statusOf(final Socket caller) throws IOException {
        caller.setSoTimeout(10_000);
        return new BufferedReader(
                        new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII))
                .readLine();
    }

    private void respond() throws InterruptedException {
        final ServerExchange exchange = handled.poll(10, TimeUnit.SECONDS);
        assertThat(exchange).isNotNull();
        exchange.eventLoop().execute(() -> exchange.respond(200, "text/plain", "ok"));
    }

    /** Guards against callers whose bodies use up the memory of all requests. */
    @Test
    void requestsForWhoseBodiesThereIsNoMemoryAreRefusedAsNotRun() throws Exception {
        final Socket first = send(connect());
        final ServerExchange running = handled.poll(10, TimeUnit.SECONDS);
        assertThat(running).isNotNull();
        assertThat(statusOf(send(connect()))).isEqualTo("HTTP/1.1 503 Service Unavailable");
        assertThat(handled).isEmpty();
        running.eventLoop().execute(() -> running.respond(200, "text/plain", "ok"));
        assertThat(statusOf(first)).isEqualTo("HTTP/1.1 200 OK");
    }

    /** Guards against memory that is never given back, so that later requests are refused. */
    @Test
    void aKeptConnectionGivesTheMemoryOfEachRequestBack() throws Exception {
        final Socket caller = connect();
        for (int i = 0; i < 5; i++) {
            send(caller);
            respond();
            final byte[] response = new byte[4];
            while (!new String(response, StandardCharsets.US_ASCII).endsWith("\r\nok")) {
                System.arraycopy(response, 1, response, 0, 3);
                response[3] = (byte) caller.getInputStream().read();
            }
        }
    }

    @Test
    void aCallerThatLeavesGivesTheMemoryBack() throws Exception {
        final Socket caller = send(connect());
        assertThat(handled.poll(10, TimeUnit.SECONDS)).isNotNull();
        assertThat(taken.get()).isEqualTo(BODY_BYTES);
        caller.close();
        final long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (taken.get() > 0 && System.nanoTime() - endNanos < 0) {
            Thread.onSpinWait();
        }
        assertThat(taken.get()).isZero();
    }
}
