package org.fennelstage.rollout;

/** A way in which an answer can turn out bad. Each is tested on its own. */
public enum Signal {
    /** The engine failed. */
    ERROR,
    /** The rating service rated the answer below the profile's quality. */
    POOR_RATING,
    /** The answer ended before it was whole. */
    TRUNCATION,
    /** The first token came after the profile's objective. */
    LATE
}
