package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * Whether the backend servers of one data centre can be reached at all.
 *
 * <p>When a data centre is cut off, finding each of its backend servers unreachable would cost one
 * failed connection attempt per server. Several consecutive failures without a byte from any of its
 * servers mark the whole data centre as unreachable instead.
 *
 * <p>Not thread-safe.
 */
public final class Reachability {

    /**
     * Consecutive failures that mark the data centre; two may come from two crashed backend
     * servers.
     */
    private static final int FAILURES = 3;

    /** How long its backend servers are excluded before one is probed; milliseconds. */
    private static final long PAUSE_MILLIS = 1_000;

    /** How long a received byte shows that the data centre is reachable; milliseconds. */
    private static final long RECENT_MILLIS = 1_000;

    private final MonotonicClock clock;
    private int failures;
    private long pausedUntilMillis;
    private long lastByteMillis = Long.MIN_VALUE / 2;

    private Reachability(final MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns the initial state of a data centre, without failures.
     *
     * @param clock the clock
     * @return the state
     */
    public static Reachability of(final MonotonicClock clock) {
        return new Reachability(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Returns whether the backend servers of the data centre are to be excluded.
     *
     * @return true while it seems unreachable and no probe is due
     */
    public boolean isUnreachable() {
        return isSuspect() && clock.millis() < pausedUntilMillis;
    }

    /**
     * Returns whether the data centre seemed unreachable and nothing was heard from it since.
     *
     * @return true until one of its backend servers accepts a probe's connection or responds
     */
    public boolean isSuspect() {
        return failures >= FAILURES;
    }

    void onProbe() {
        pausedUntilMillis = clock.millis() + PAUSE_MILLIS;
    }

    void onUnreachable() {
        failures++;
        pausedUntilMillis = clock.millis() + PAUSE_MILLIS;
    }

    /**
     * Returns whether a byte was received from one of its backend servers recently.
     *
     * @return true if one was received within the last {@link #RECENT_MILLIS}
     */
    boolean receivedBytesRecently() {
        return clock.millis() - lastByteMillis <= RECENT_MILLIS;
    }

    /** Records that one of its backend servers accepted a connection. */
    void onConnected() {
        failures = 0;
    }

    void onBytesReceived() {
        failures = 0;
        lastByteMillis = clock.millis();
    }
}
