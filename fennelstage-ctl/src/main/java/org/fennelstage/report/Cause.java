package org.fennelstage.report;

/** Why a request was not served in time. The first that fits counts, in this order. */
public enum Cause {
    /** It was served in time. */
    NONE("served in time"),
    /** The caller went away. */
    CALLER_GONE("the caller left"),
    /** The VM that had it ended before it did. */
    VM_ENDED("its VM ended"),
    /** Nothing was sent: no configuration, no worker, or no room. */
    REFUSED("refused before any attempt"),
    /** A worker could not be reached or went silent, and the time was lost on it. */
    DARK_SERVER("a backend server was dark"),
    /** A connection broke, or an answer came that was none. */
    BROKEN_ANSWER("an answer broke off or was spoiled"),
    /** Workers said that they failed, or that they did not run it. */
    FAILED_ANSWER("backend servers failed or rejected it"),
    /** A larger model was asked after a smaller one, and began too late. */
    LARGER_MODEL("a larger model was asked and began late"),
    /** It waited at one worker. */
    WAITED("it waited at a backend server"),
    /** The log does not tell. */
    UNEXPLAINED("not explained by the log");

    private final String text;

    Cause(final String text) {
        this.text = text;
    }

    /**
     * Returns the cause in words.
     *
     * @return the words
     */
    public String text() {
        return text;
    }
}
