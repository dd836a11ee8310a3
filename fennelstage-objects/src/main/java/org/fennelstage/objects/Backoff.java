package org.fennelstage.objects;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Waiting times between attempts: doubled each time up to a bound, and drawn from the whole range
 * so that VMs which failed together do not come back together.
 *
 * <p>Not thread-safe.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 16;

    private final RandomGenerator random;
    private final Duration first;
    private final Duration longest;
    private int failures;

    private Backoff(final RandomGenerator random, final Duration first, final Duration longest) {
        this.random = random;
        this.first = first;
        this.longest = longest;
    }

    /**
     * Returns a back-off before its first failure.
     *
     * @param random the source of jitter
     * @param first the bound of the first wait
     * @param longest the bound of every wait
     * @return the back-off
     */
    public static Backoff of(
            final RandomGenerator random, final Duration first, final Duration longest) {
        return new Backoff(random, first, longest);
    }

    /**
     * Notes a failure and returns how long to wait before the next attempt.
     *
     * @return the wait, in (0, bound]
     */
    public Duration nextWait() {
        final long doubled = first.toMillis() << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        final long bound = Math.max(1, Math.min(doubled, longest.toMillis()));
        return Duration.ofMillis(1 + random.nextLong(bound));
    }

    /** Notes a success: the next failure waits shortly again. */
    public void reset() {
        failures = 0;
    }
}
