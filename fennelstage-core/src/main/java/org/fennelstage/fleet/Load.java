package org.fennelstage.fleet;

import java.util.Objects;

/**
 * Requests running at one backend server, and the outcomes of those that have ended. Immutable and
 * thread-safe.
 *
 * @param running the number of running requests
 * @param unreadMillis expected time to read (prefill) the prompts of those without a response yet;
 *     milliseconds
 * @param outcomes the recent outcomes
 */
public record Load(int running, long unreadMillis, Outcomes outcomes) {

    /** No requests. */
    public static final Load NONE = new Load(0, 0);

    public Load {
        Objects.requireNonNull(outcomes, "outcomes is null");
    }

    /**
     * Creates a load without outcomes.
     *
     * @param running the number of running requests
     * @param unreadMillis as in the record; milliseconds
     */
    public Load(final int running, final long unreadMillis) {
        this(running, unreadMillis, Outcomes.NONE);
    }

    /**
     * Returns the sum of two loads.
     *
     * @param other another load at the same backend server
     * @return the sum
     */
    public Load plus(final Load other) {
        return new Load(
                running + other.running,
                unreadMillis + other.unreadMillis,
                outcomes.plus(other.outcomes));
    }

    /**
     * Returns the difference of two loads.
     *
     * @param other the load to subtract
     * @return the difference
     */
    public Load minus(final Load other) {
        return new Load(
                running - other.running,
                unreadMillis - other.unreadMillis,
                outcomes.minus(other.outcomes));
    }

    /**
     * Returns this load as one VM may report it.
     *
     * @return the load, with outcomes whose weight is limited for the invariant of {@link
     *     OutlierDetection}
     */
    public Load reportedByOneVm() {
        return new Load(
                running,
                unreadMillis,
                outcomes.withExcessAtMost(OutlierDetection.MAX_REPORTED_EXCESS));
    }

    Load withoutOutcomes() {
        return new Load(running, unreadMillis);
    }

    Load times(final double factor) {
        return new Load((int) Math.round(running * factor), Math.round(unreadMillis * factor));
    }
}
