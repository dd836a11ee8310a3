package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.Load;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class PeerMessengerTest {

    private static final int TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();

    @AfterEach
    void stopLoops() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private PeerMessenger start(final InetSocketAddress own, final List<InetSocketAddress> others)
            throws IOException {
        return PeerMessenger.start(
                group.next(),
                own,
                () -> others,
                now::get,
                (message, sender) -> received.add(message));
    }

    private static Incarnation incarnation(final String id) {
        return Incarnation.of(BackendServerId.of(id));
    }

    private Incarnation next() throws InterruptedException {
        final PeerMessage message = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return ((PeerMessage.Unreachable) message).server();
    }

    @Test
    void unreachableServerIsReportedOnceASecond() throws Exception {
        final InetSocketAddress second = freeAddress();
        start(second, List.of());
        final PeerMessenger first = start(freeAddress(), List.of(second));
        first.reportUnreachable(incarnation("i-1"));
        first.reportUnreachable(incarnation("i-1"));
        first.reportUnreachable(incarnation("i-2"));
        now.addAndGet(1_000);
        first.reportUnreachable(incarnation("i-1"));
        assertThat(List.of(next(), next(), next()))
                .extracting(i -> i.server().value())
                .containsExactlyInAnyOrder("i-1", "i-2", "i-1");
    }

    /** Guards against news that are lost unseen, and against a log full of the same line. */
    @Test
    void droppedMessageIsLoggedOnceASecond() throws Exception {
        final InetSocketAddress second = freeAddress();
        start(second, List.of());
        final PeerMessenger first = start(freeAddress(), List.of(second));
        final Map<BackendServerId, Load> loads = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            loads.put(BackendServerId.of("x".repeat(90) + i), new Load(1, 10));
        }
        final PeerMessage tooLong = new PeerMessage.Loads(VmId.of("vm-1"), loads);
        final ListAppender<ILoggingEvent> log = new ListAppender<>();
        log.start();
        final Logger logger = (Logger) LoggerFactory.getLogger("fennelstage");
        logger.addAppender(log);
        try {
            first.send(tooLong, List.of(second));
            first.send(tooLong, List.of(second));
            now.addAndGet(999);
            first.send(tooLong, List.of(second));
            now.addAndGet(1);
            first.send(tooLong, List.of(second));
        } finally {
            logger.detachAppender(log);
        }
        assertThat(log.list)
                .extracting(ILoggingEvent::getFormattedMessage)
                .filteredOn(line -> line.startsWith("FS3002 "))
                .satisfiesExactly(
                        line -> assertThat(line).contains("message=Loads ", "dropped_total=1"),
                        line -> assertThat(line).contains("message=Loads ", "dropped_total=4"));
        first.reportUnreachable(incarnation("i-1"));
        assertThat(next()).isEqualTo(incarnation("i-1"));
    }

    @Test
    void invalidMessagesAreIgnored() throws Exception {
        final InetSocketAddress own = freeAddress();
        start(own, List.of());
        try (DatagramSocket sender = new DatagramSocket()) {
            final List<String> messages =
                    List.of(
                            "",
                            "unreachable ",
                            "x".repeat(2_000),
                            "unreachable i-1",
                            "unreachable i-1 x",
                            "unreachable i-1 17");
            for (final String message : messages) {
                final byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
                sender.send(new DatagramPacket(bytes, bytes.length, own));
            }
        }
        assertThat(next()).isEqualTo(new Incarnation(BackendServerId.of("i-1"), 17));
        assertThat(received).isEmpty();
    }
}
