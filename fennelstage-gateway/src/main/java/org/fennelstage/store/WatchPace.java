package org.fennelstage.store;

import java.time.Duration;
import java.util.Objects;

/**
 * Timing of a follower's calls to the store. Immutable and thread-safe.
 *
 * @param watchTime the longest wait of one watch; a store that does not respond is detected only
 *     after it
 * @param pause the pause after a watch that returned changes; it batches changes that occur close
 *     together into one call
 * @param listPause the pause between a list and the first watch after it
 * @param maxBackoff the longest backoff after failed calls
 */
public record WatchPace(
        Duration watchTime, Duration pause, Duration listPause, Duration maxBackoff) {

    /** Lets followers recover within a second after the store is available again. */
    private static final Duration DEFAULT_MAX_BACKOFF = Duration.ofMillis(800);

    public WatchPace {
        Objects.requireNonNull(watchTime, "watchTime is null");
        Objects.requireNonNull(pause, "pause is null");
        Objects.requireNonNull(listPause, "listPause is null");
        Objects.requireNonNull(maxBackoff, "maxBackoff is null");
    }

    /**
     * Returns a pace without a pause after lists and with the default maximum backoff.
     *
     * @param waitMillis the longest wait of one watch; milliseconds
     * @param pauseMillis the pause after a watch that returned changes; milliseconds
     * @return the pace
     */
    public static WatchPace ofMillis(final long waitMillis, final long pauseMillis) {
        return new WatchPace(
                Duration.ofMillis(waitMillis),
                Duration.ofMillis(pauseMillis),
                Duration.ZERO,
                DEFAULT_MAX_BACKOFF);
    }

    /**
     * Returns a copy with another pause between a list and the first watch after it.
     *
     * @param newListPause the pause
     * @return the copy
     */
    public WatchPace withListPause(final Duration newListPause) {
        return new WatchPace(watchTime, pause, newListPause, maxBackoff);
    }

    /**
     * Returns a copy with another maximum backoff after failed calls.
     *
     * @param backoff the maximum backoff
     * @return the copy
     */
    public WatchPace withMaxBackoff(final Duration backoff) {
        return new WatchPace(watchTime, pause, listPause, backoff);
    }
}
