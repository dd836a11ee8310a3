package org.fennelstage.objects;

import java.time.InstantSource;
import java.util.Objects;

/**
 * Bounds how many calls one VM makes to the object API, so that a fleet of them stays within what
 * the platform serves, above all when all VMs come back at once after an outage.
 *
 * <p>Invariant: over any time t at most {@code burst + rate * t} calls are admitted; the lower
 * priorities leave a part of the burst untouched for the higher ones. Thread-safe.
 */
public final class CallBudget {

    private static final double NORMAL_RESERVE = 0.25;
    private static final double BACKGROUND_RESERVE = 0.6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final InstantSource clock;
    private final double ratePerSecond;
    private final double burst;
    private double available;
    private long lastMillis;

    private CallBudget(final InstantSource clock, final double ratePerSecond, final double burst) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.available = burst;
        this.lastMillis = clock.millis();
    }

    /**
     * Returns a full budget.
     *
     * @param clock the clock
     * @param ratePerSecond calls per second in the long run
     * @param burst calls at once
     * @return the budget
     */
    public static CallBudget of(
            final InstantSource clock, final double ratePerSecond, final double burst) {
        return new CallBudget(clock, ratePerSecond, burst);
    }

    /**
     * Takes one call out of the budget if its priority allows.
     *
     * @param priority the call's priority
     * @return true if the call may be made
     */
    public synchronized boolean tryTake(final CallPriority priority) {
        refill();
        if (available - 1 < burst * reserve(priority)) {
            return false;
        }
        available -= 1;
        return true;
    }

    private void refill() {
        final long now = clock.millis();
        final double elapsed = Math.max(0, now - lastMillis) / MILLIS_PER_SECOND;
        available = Math.min(burst, available + elapsed * ratePerSecond);
        lastMillis = now;
    }

    private static double reserve(final CallPriority priority) {
        return switch (priority) {
            case URGENT -> 0;
            case NORMAL -> NORMAL_RESERVE;
            case BACKGROUND -> BACKGROUND_RESERVE;
        };
    }
}
