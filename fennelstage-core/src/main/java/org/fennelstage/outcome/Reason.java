package org.fennelstage.outcome;

/** The reason for a rejection, with its HTTP status. Immutable and thread-safe. */
public enum Reason {
    MALFORMED(400),
    UNAUTHENTICATED(401),
    FORBIDDEN(403),
    UNKNOWN_PROFILE(404),
    UNKNOWN_SERVICE(404),
    INVALID_SESSION(400),
    SESSION_VERSION_WITHDRAWN(410),
    KEY_REQUIRED(400),
    LIMIT(429),
    DEADLINE(503),
    NO_BACKEND(503),
    CLAIM_UNAVAILABLE(503),
    SHUTTING_DOWN(503),
    TOO_LARGE(413);

    private final int status;

    Reason(final int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status for this reason.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the stable lower-case name, as used in response bodies.
     *
     * @return the name
     */
    public String code() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
