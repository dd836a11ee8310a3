package org.fennelstage.time;

/**
 * A clock for durations and deadlines, unaffected by adjustments of the time of day.
 *
 * <p>Invariant: readings never decrease. Implementations are thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Returns the time since an arbitrary fixed origin.
     *
     * @return the time; milliseconds
     */
    long millis();
}
