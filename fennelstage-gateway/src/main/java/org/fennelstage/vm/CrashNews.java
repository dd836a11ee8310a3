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
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.time.MonotonicClock;

/**
 * Tells all other VMs which requests were at a worker that ended, and which of them were answered
 * later.
 *
 * <p>Datagrams get lost, and a request that three workers ended under, each at another VM, is known
 * to none that misses one report; so each is told several times. What is told twice counts once.
 * Confined to the event loop.
 */
final class CrashNews {

    /** How often each message is told. */
    private static final int TELLINGS = 3;

    /** Time between two tellings; milliseconds. A way that loses packets for a moment is back. */
    private static final long PERIOD_MILLIS = 300;

    /** Requests in one message: as many as a datagram holds. */
    private static final int MOST_CONTENTS = 60;

    private record Telling(PeerMessage message, long dueMillis, int left) {}

    private final Supplier<List<InetSocketAddress>> others;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> tell;
    private final MonotonicClock clock;
    private final Deque<Telling> tellings = new ArrayDeque<>();

    CrashNews(
            final Supplier<List<InetSocketAddress>> others,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> tell,
            final MonotonicClock clock) {
        this.others = Objects.requireNonNull(others, "others is null");
        this.tell = Objects.requireNonNull(tell, "tell is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /** Tells that a worker ended. */
    void onReport(final CrashReport report) {
        final Set<Fingerprint> part = new HashSet<>();
        for (final Fingerprint content : report.contents()) {
            part.add(content);
            if (part.size() == MOST_CONTENTS) {
                begin(new PeerMessage.Crash(new CrashReport(report.server(), part)));
                part.clear();
            }
        }
        if (!part.isEmpty()) {
            begin(new PeerMessage.Crash(new CrashReport(report.server(), part)));
        }
    }

    /** Tells that a request was answered. */
    void onAcquittal(final ClearedCrashes acquittal) {
        begin(new PeerMessage.Answered(acquittal));
    }

    private void begin(final PeerMessage message) {
        tell(new Telling(message, clock.millis(), TELLINGS));
    }

    /** Tells again what is due. To be called several times a second. */
    void sendDue() {
        final List<Telling> due = new ArrayList<>();
        final Iterator<Telling> all = tellings.iterator();
        while (all.hasNext()) {
            final Telling next = all.next();
            if (next.dueMillis() <= clock.millis()) {
                all.remove();
                due.add(next);
            }
        }
        due.forEach(this::tell);
    }

    private void tell(final Telling telling) {
        tell.accept(telling.message(), others.get());
        if (telling.left() > 1) {
            tellings.addLast(
                    new Telling(
                            telling.message(), clock.millis() + PERIOD_MILLIS, telling.left() - 1));
        }
    }
}
