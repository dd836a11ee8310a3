package org.fennelstage.report;

/**
 * Why a request was not served in time. {@link RequestTimeline#cause} selects the first that
 * applies. The lower-case names of the constants are keys in the JSON report.
 */
public enum Cause {
    /** The request was served in time. */
    NONE("served in time"),
    /** The caller closed the connection. */
    CALLER_GONE("the caller left"),
    /** The VM ended before the request did. */
    VM_ENDED("its VM ended"),
    /** The VM rejected the request without sending it to a backend server. */
    REFUSED("refused before any attempt"),
    /** A backend server was unavailable, or sent nothing for too long. */
    DARK_SERVER("a backend server was dark"),
    /** A connection was closed before the response was complete, or a response was not signed. */
    BROKEN_ANSWER("an answer broke off or was spoiled"),
    /** Backend servers responded with an error or rejected the request. */
    FAILED_ANSWER("backend servers failed or rejected it"),
    /** The answer of a smaller model was discarded, and the larger model began too late. */
    LARGER_MODEL("a larger model was asked and began late"),
    /** The only delay was at the backend server that ran the request. */
    WAITED("it waited at a backend server"),
    /** The log does not show the cause. */
    UNEXPLAINED("not explained by the log");

    private final String text;

    Cause(final String text) {
        this.text = text;
    }

    /**
     * Returns the description that reports print.
     *
     * @return the description
     */
    public String text() {
        return text;
    }
}
