package org.fennelstage.startup;

import java.time.Duration;

/**
 * Estimates when a starting VM will be ready, for callers that it rejects. Stateless and
 * thread-safe.
 */
public final class StartProgress {

    /** Below this a caller would be back before any VM can have read its state. */
    private static final long MIN_MILLIS = 100;

    /**
     * Limit of the estimate. A start that takes longer waits for the store or for another VM, whose
     * return does not depend on how long it has taken.
     */
    private static final long MAX_MILLIS = 2_000;

    private StartProgress() {}

    /**
     * Returns when a caller should return that was rejected as the VM has no configuration yet.
     *
     * <p>How long the start takes is unknown. That it has taken some time is the best evidence that
     * it will take about as long again. The jitter, up to half of the estimate, keeps callers from
     * returning all at once.
     *
     * @param sinceProcessBegan the time since the process began; negative counts as zero
     * @param draw a random number from 0 to 1
     * @return the time until the caller should return
     */
    public static Duration retryAfter(final Duration sinceProcessBegan, final double draw) {
        final long estimate =
                Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, sinceProcessBegan.toMillis()));
        return Duration.ofMillis(estimate + (long) (draw * estimate / 2));
    }
}
