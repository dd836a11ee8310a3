package org.fennelstage.time;

/**
 * A clock for durations and deadlines.
 *
 * <p>The time of day may be set back or forward while a request waits; a deadline kept in it would
 * then pass at once or never. Law: readings never decrease. Implementations are thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Returns the time since some fixed moment.
     *
     * @return milliseconds
     */
    long millis();
}
