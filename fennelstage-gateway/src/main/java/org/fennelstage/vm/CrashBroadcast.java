package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.time.MonotonicClock;

/**
 * Sends crash reports, and the crashes cleared by later responses, to all other VMs.
 *
 * <p>Each message is sent several times: the crashes of one cause may be seen by different VMs, and
 * a VM that missed one report would not reach the threshold. Receivers ignore duplicates. Not
 * thread-safe; confined to the event loop.
 */
final class CrashBroadcast {

    /** How many times each message is sent. */
    private static final int TRANSMISSIONS = 3;

    /** Time between two transmissions, to outlast a short loss of packets; milliseconds. */
    private static final long PERIOD_MILLIS = 300;

    /** Fingerprints in one message, so that it fits into a datagram. */
    private static final int MAX_FINGERPRINTS = 60;

    private record Transmission(PeerMessage message, long dueMillis, int remaining) {}

    private final Supplier<List<InetSocketAddress>> peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final MonotonicClock clock;
    private final Deque<Transmission> pending = new ArrayDeque<>();

    CrashBroadcast(
            final Supplier<List<InetSocketAddress>> peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final MonotonicClock clock) {
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /** Sends the report of a crash. */
    void onReport(final CrashReport report) {
        final Set<RequestFingerprints> part = new HashSet<>();
        int fingerprints = 0;
        for (final RequestFingerprints request : report.requests()) {
            final int size = 1 + request.parts().size();
            if (fingerprints + size > MAX_FINGERPRINTS) {
                sendRepeatedly(new PeerMessage.Crash(new CrashReport(report.server(), part)));
                part.clear();
                fingerprints = 0;
            }
            part.add(request);
            fingerprints += size;
        }
        if (!part.isEmpty()) {
            sendRepeatedly(new PeerMessage.Crash(new CrashReport(report.server(), part)));
        }
    }

    /** Sends that the crashes of a content or part no longer count. */
    void onClearedCrashes(final ClearedCrashes cleared) {
        sendRepeatedly(new PeerMessage.CrashesCleared(cleared));
    }

    private void sendRepeatedly(final PeerMessage message) {
        send(new Transmission(message, clock.millis(), TRANSMISSIONS));
    }

    /** Sends the messages that are due again. Called several times a second. */
    void sendDue() {
        final List<Transmission> due = new ArrayList<>();
        final Iterator<Transmission> all = pending.iterator();
        while (all.hasNext()) {
            final Transmission next = all.next();
            if (next.dueMillis() <= clock.millis()) {
                all.remove();
                due.add(next);
            }
        }
        due.forEach(this::send);
    }

    private void send(final Transmission transmission) {
        send.accept(transmission.message(), peers.get());
        if (transmission.remaining() > 1) {
            pending.addLast(
                    new Transmission(
                            transmission.message(),
                            clock.millis() + PERIOD_MILLIS,
                            transmission.remaining() - 1));
        }
    }
}
