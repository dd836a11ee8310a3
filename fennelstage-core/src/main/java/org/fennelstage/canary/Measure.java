package org.fennelstage.canary;

/** What is compared between the responses of two versions. */
public enum Measure {
    /** Whether the backend server reported a failure. */
    FAILURE,
    /** The same for requests of a load test, by backend server. */
    FAILURE_UNDER_LOAD,
    /** The time until a stream begins. */
    FIRST_BYTE,
    /** The time per event of a stream, or of the whole response if it is not a stream. */
    PACE,
    /** The mean of that time, which reveals a version that is somewhat slower in all responses. */
    MEAN_PACE;

    /** Returns whether the measure counts reported failures, not times. */
    boolean isFailure() {
        return this == FAILURE || this == FAILURE_UNDER_LOAD;
    }
}
