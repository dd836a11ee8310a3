package org.fennelstage.rollout;

/** A criterion by which a response is judged good or bad. Each is tested separately. */
public enum Signal {
    /** The backend server failed to process the request. */
    ERROR,
    /** The rating service rated the answer below the profile's quality. */
    POOR_RATING,
    /** The response ended before it was complete. */
    TRUNCATION,
    /** The first token arrived later than the profile's latency objective. */
    LATE
}
