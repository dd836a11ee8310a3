package org.fennelstage.canary;

import java.time.Duration;

/**
 * The share of new sessions that the new version gets over the time of a roll-out.
 *
 * <p>A version may turn bad late or under load, so nothing seen early proves it good. The share
 * therefore stays small until shortly before the end and all traffic moves then: if the version
 * turns out bad even after the move, its requests over the whole time are still within the allowed
 * share. With the allowed share 0.15: 0.07 for 92 in 100 of the time and all for at most 8 in 100
 * is 0.14.
 *
 * <p>Immutable and thread-safe.
 *
 * @param duration the time by which the roll-out is to be decided
 * @param allowedShare the largest part of all requests that a bad version may get
 */
public record CanaryPlan(Duration duration, double allowedShare) {

    /** Part of the allowed share that is used before the move; the rest pays for the move. */
    private static final double EARLY_PART = 0.47;

    /** Part of the allowed share that the move may use up; the rest is for uneven traffic. */
    private static final double MOVE_PART = 0.5;

    /** When the completion is written, as a part of the move: in-flight work gets this long. */
    private static final double WRITE_AT_PART_OF_MOVE = 0.6;

    /**
     * Returns the share of new sessions.
     *
     * @param elapsed the time since the order
     * @return the share in [0, 1]
     */
    public double share(final Duration elapsed) {
        return moving(elapsed) ? 1 : allowedShare * EARLY_PART;
    }

    /**
     * Tells whether all traffic goes to the new version.
     *
     * @param elapsed the time since the order
     * @return true in the last part of the roll-out
     */
    public boolean moving(final Duration elapsed) {
        return elapsed.toMillis() >= moveAtMillis();
    }

    /**
     * Tells whether the completion is to be written.
     *
     * @param elapsed the time since the order
     * @return true once all traffic has moved and old work had time to end
     */
    public boolean complete(final Duration elapsed) {
        final double move = duration.toMillis() - moveAtMillis();
        return elapsed.toMillis() >= moveAtMillis() + move * WRITE_AT_PART_OF_MOVE;
    }

    private double moveAtMillis() {
        return duration.toMillis() * (1 - allowedShare * MOVE_PART);
    }
}
