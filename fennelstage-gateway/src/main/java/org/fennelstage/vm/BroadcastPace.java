package org.fennelstage.vm;

import java.util.Objects;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.fennelstage.time.MonotonicClock;

/**
 * Decides when a VM sends a message that every VM sends to all others again and again.
 *
 * <p>Invariant: the messages that a VM receives in a period do not grow with the fleet. Not
 * thread-safe.
 */
final class BroadcastPace {

    /**
     * Time in which a VM of a small fleet receives the message of each other, and initial delay;
     * milliseconds.
     */
    private static final long PERIOD_MILLIS = 500;

    /**
     * Number of VMs up to which each sends once a period. Of a larger fleet about this many send in
     * a period, at random times.
     */
    private static final int MAX_SENDERS_PER_PERIOD = 6;

    private final MonotonicClock clock;
    private final IntSupplier others;
    private final RandomGenerator random;
    private long dueMillis;

    /**
     * Creates a pace.
     *
     * @param clock the clock
     * @param others the number of VMs that receive the message
     * @param random the source of random times
     */
    BroadcastPace(
            final MonotonicClock clock, final IntSupplier others, final RandomGenerator random) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.others = Objects.requireNonNull(others, "others is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.dueMillis = clock.millis() + PERIOD_MILLIS;
    }

    /** Returns whether the message is to be sent now; if so, the time of the next begins. */
    boolean isDue() {
        if (clock.millis() < dueMillis) {
            return false;
        }
        dueMillis = clock.millis() + nextDelayMillis();
        return true;
    }

    /** A random delay keeps VMs that started together from sending together. */
    private long nextDelayMillis() {
        final int senders = others.getAsInt() + 1;
        if (senders <= MAX_SENDERS_PER_PERIOD) {
            return PERIOD_MILLIS;
        }
        final double mean = (double) PERIOD_MILLIS * senders / MAX_SENDERS_PER_PERIOD;
        return Math.round(mean * 2 * random.nextDouble());
    }
}
