package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * Whether the workers of one data centre can be reached at all.
 *
 * <p>When the data centre is cut off, each of its workers would be found unreachable by a request
 * of its own that waits for a connection in vain, again after every pause. Several failures in a
 * row without one byte from any of its workers speak against all of them at once.
 *
 * <p>Not thread-safe.
 */
public final class Reachability {

    /** Failures in a row that speak against the whole data centre; two may be two dead workers. */
    private static final int FAILURES = 3;

    /** How long its workers are left out before one is tried again; milliseconds. */
    private static final long PAUSE_MILLIS = 1_000;

    /** Milliseconds; a VM with a few requests a second hears some worker in each second. */
    private static final long HEARD_MILLIS = 1_000;

    private final MonotonicClock clock;
    private int failures;
    private long pausedUntilMillis;
    private long lastSignMillis = Long.MIN_VALUE / 2;

    private Reachability(final MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns the state of a data centre of which nothing is known.
     *
     * @param clock the clock
     * @return the state
     */
    public static Reachability of(final MonotonicClock clock) {
        return new Reachability(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Tells whether its workers are to be left out.
     *
     * @return true while it seems cut off
     */
    public boolean cut() {
        return doubtful() && clock.millis() < pausedUntilMillis;
    }

    /**
     * Tells whether it seemed cut off and no byte has come since.
     *
     * @return true until one of its workers answers
     */
    public boolean doubtful() {
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
     * Tells whether a byte came from one of its workers a moment ago, so that the way there works.
     *
     * @return true if one came within the last {@link #HEARD_MILLIS}
     */
    boolean heardLately() {
        return clock.millis() - lastSignMillis <= HEARD_MILLIS;
    }

    void onBytesReceived() {
        failures = 0;
        lastSignMillis = clock.millis();
    }
}
