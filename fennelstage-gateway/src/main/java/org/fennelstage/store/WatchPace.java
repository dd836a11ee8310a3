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
 */
public record WatchPace(Duration watchTime, Duration pause) {

    public WatchPace {
        Objects.requireNonNull(watchTime, "watchTime is null");
        Objects.requireNonNull(pause, "pause is null");
    }

    /**
     * Returns a pace.
     *
     * @param waitMillis the wait; milliseconds
     * @param pauseMillis the pause; milliseconds
     * @return the pace
     */
    public static WatchPace ofMillis(final long waitMillis, final long pauseMillis) {
        return new WatchPace(Duration.ofMillis(waitMillis), Duration.ofMillis(pauseMillis));
    }
}
