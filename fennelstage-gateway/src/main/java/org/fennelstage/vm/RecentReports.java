package org.fennelstage.vm;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.time.MonotonicClock;

/**
 * The backend servers on which a report was sent recently, so that it is not repeated too soon.
 *
 * <p>Invariant: a server counts for the interval from its report on, however often it is added
 * meanwhile. Not thread-safe; confined to the event loop.
 */
final class RecentReports {

    private final MonotonicClock clock;
    private final long intervalMillis;
    private final Map<Incarnation, Long> reportedMillis = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param clock the clock
     * @param intervalMillis shortest time between two reports on the same backend server;
     *     milliseconds
     */
    RecentReports(final MonotonicClock clock, final long intervalMillis) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.intervalMillis = intervalMillis;
    }

    /**
     * Records a report, unless there was one within the interval.
     *
     * @return whether there was none
     */
    boolean add(final Incarnation server) {
        final long now = clock.millis();
        reportedMillis.values().removeIf(reported -> now - reported >= intervalMillis);
        return reportedMillis.putIfAbsent(server, now) == null;
    }

    /** Allows the next report on a backend server at once. */
    void remove(final Incarnation server) {
        reportedMillis.remove(server);
    }
}
