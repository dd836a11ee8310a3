package org.fennelstage.objects;

import java.time.InstantSource;
import java.util.Objects;

/**
 * A token bucket that limits the calls of one VM to the object API, so that a fleet does not
 * overload it, in particular when all VMs reconnect after an outage.
 *
 * <p>Invariant: in any period of t seconds at most {@code burst + callsPerSecond * t} calls are
 * admitted; a fraction of the burst is reserved for the higher priorities. Thread-safe.
 */
public final class CallBudget {

    private static final double RESERVED_FROM_NORMAL = 0.25;
    private static final double RESERVED_FROM_BACKGROUND = 0.6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final InstantSource clock;
    private final double callsPerSecond;
    private final double burst;
    private double available;
    private long lastMillis;

    private CallBudget(final InstantSource clock, final double callsPerSecond, final double burst) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.callsPerSecond = callsPerSecond;
        this.burst = burst;
        this.available = burst;
        this.lastMillis = clock.millis();
    }

    /**
     * Returns a full budget.
     *
     * @param clock the clock
     * @param callsPerSecond the sustained rate; calls per second
     * @param burst the maximum number of calls at once
     * @return the budget
     */
    public static CallBudget of(
            final InstantSource clock, final double callsPerSecond, final double burst) {
        return new CallBudget(clock, callsPerSecond, burst);
    }

    /**
     * Takes one call from the budget if its priority allows.
     *
     * @param priority the call's priority
     * @return true if the call may be made
     */
    public synchronized boolean tryTake(final CallPriority priority) {
        refill();
        if (available - 1 < burst * reservedFraction(priority)) {
            return false;
        }
        available -= 1;
        return true;
    }

    private void refill() {
        final long now = clock.millis();
        final double elapsed = Math.max(0, now - lastMillis) / MILLIS_PER_SECOND;
        available = Math.min(burst, available + elapsed * callsPerSecond);
        lastMillis = now;
    }

    private static double reservedFraction(final CallPriority priority) {
        return switch (priority) {
            case URGENT -> 0;
            case NORMAL -> RESERVED_FROM_NORMAL;
            case BACKGROUND -> RESERVED_FROM_BACKGROUND;
        };
    }
}
