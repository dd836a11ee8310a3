package org.fennelstage.fleet;

import java.util.Objects;

/**
 * Requests running at one backend server, and the outcomes and the pace of the recent ones.
 * Immutable and thread-safe.
 *
 * @param running the number of running requests
 * @param unreadMillis expected time to read (prefill) the prompts of those without a response yet;
 *     milliseconds
 * @param outcomes the recent outcomes
 * @param pace how long the recent requests took against what is usual
 */
public record Load(int running, long unreadMillis, Outcomes outcomes, Pace pace) {

    /** No requests. */
    public static final Load NONE = new Load(0, 0);

    public Load {
        Objects.requireNonNull(outcomes, "outcomes is null");
        Objects.requireNonNull(pace, "pace is null");
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
     * Creates a load without a pace.
     *
     * @param running the number of running requests
     * @param unreadMillis as in the record; milliseconds
     * @param outcomes the recent outcomes
     */
    public Load(final int running, final long unreadMillis, final Outcomes outcomes) {
        this(running, unreadMillis, outcomes, Pace.NONE);
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
                outcomes.plus(other.outcomes),
                pace.plus(other.pace));
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
                outcomes.minus(other.outcomes),
                pace.minus(other.pace));
    }

    /**
     * Returns this load with counts of at least zero; the difference of two loads of different ages
     * may have lower ones.
     *
     * @return the load
     */
    public Load withoutNegatives() {
        return new Load(Math.max(0, running), Math.max(0, unreadMillis), outcomes, pace);
    }

    /**
     * Returns this load as one VM may report it.
     *
     * @return the load, with outcomes whose weight is limited for the invariant of {@link
     *     OutlierDetection}, and with a pace of limited weight
     */
    public Load reportedByOneVm() {
        return new Load(
                running,
                unreadMillis,
                outcomes.withExcessAtMost(OutlierDetection.MAX_REPORTED_EXCESS),
                pace.withSamplesAtMost(Pace.MAX_REPORTED_SAMPLES));
    }

    /**
     * Returns this load with another pace.
     *
     * @param newPace the pace
     * @return the load
     */
    public Load withPace(final Pace newPace) {
        return new Load(running, unreadMillis, outcomes, newPace);
    }

    /** Returns this load without what is known of recent requests. */
    Load withoutHistory() {
        return new Load(running, unreadMillis, Outcomes.NONE, Pace.NONE);
    }

    /** Returns the requests of this load times a factor, without what is known of recent ones. */
    Load times(final double factor) {
        return new Load(
                (int) Math.round(running * factor),
                Math.round(unreadMillis * factor),
                Outcomes.NONE,
                Pace.NONE);
    }
}
