package org.fennelstage.objects;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the bound doubles with each failure up to a maximum, and
 * each wait is drawn from the whole range, so that VMs which failed together do not retry together.
 *
 * <p>Not thread-safe.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final RandomGenerator random;
    private final Duration initialBound;
    private final Duration maxBound;
    private int failures;

    private Backoff(
            final RandomGenerator random, final Duration initialBound, final Duration maxBound) {
        this.random = random;
        this.initialBound = initialBound;
        this.maxBound = maxBound;
    }

    /**
     * Returns a backoff without failures.
     *
     * @param random the source of jitter
     * @param initialBound the bound of the first wait
     * @param maxBound the bound of every wait
     * @return the backoff
     */
    public static Backoff of(
            final RandomGenerator random, final Duration initialBound, final Duration maxBound) {
        return new Backoff(random, initialBound, maxBound);
    }

    /**
     * Records a failure and returns how long to wait before the next attempt.
     *
     * @return the wait, in (0, bound]
     */
    public Duration nextWait() {
        final long doubled = initialBound.toMillis() << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        final long bound = Math.max(1, Math.min(doubled, maxBound.toMillis()));
        return Duration.ofMillis(1 + random.nextLong(bound));
    }

    /** Records a success: the bound starts at its initial value again. */
    public void reset() {
        failures = 0;
    }
}
