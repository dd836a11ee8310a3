package org.fennelstage.store;

import java.time.Duration;
import java.util.Objects;

/**
 * How often a follower calls the store. Immutable and thread-safe.
 *
 * @param watchTime the longest wait of one watch; a store that keeps silent is noticed only after
 *     it
 * @param pause the pause after a watch that brought changes; changes that come together are then
 *     one call, where each would end a watch of every VM
 * @param listPause the pause between a list and the first watch after it
 * @param maxBackoff the longest wait after calls that failed; those made while the store is away
 *     are in vain
 */
public record WatchPace(
        Duration watchTime, Duration pause, Duration listPause, Duration maxBackoff) {

    /** Suits what must be known a moment after the store's return. */
    private static final Duration SOON = Duration.ofMillis(800);

    public WatchPace {
        Objects.requireNonNull(watchTime, "watchTime is null");
        Objects.requireNonNull(pause, "pause is null");
        Objects.requireNonNull(listPause, "listPause is null");
        Objects.requireNonNull(maxBackoff, "maxBackoff is null");
    }

    /**
     * Returns a pace.
     *
     * @param waitMillis the wait; milliseconds
     * @param pauseMillis the pause; milliseconds
     * @return the pace
     */
    public static WatchPace ofMillis(final long waitMillis, final long pauseMillis) {
        return new WatchPace(
                Duration.ofMillis(waitMillis), Duration.ofMillis(pauseMillis), Duration.ZERO, SOON);
    }

    /**
     * Returns this pace with another pause between a list and the first watch after it.
     *
     * @param newer the pause
     * @return the pace
     */
    public WatchPace withListPause(final Duration newer) {
        return new WatchPace(watchTime, pause, newer, maxBackoff);
    }

    /**
     * Returns this pace with another bound of the wait after failures.
     *
     * @param backoff the longest wait
     * @return the pace
     */
    public WatchPace withMaxBackoff(final Duration backoff) {
        return new WatchPace(watchTime, pause, listPause, backoff);
    }
}
