package org.fennelstage.attempt;

/** How an attempt at a backend server ended, as far as this VM can know. */
public enum AttemptEnd {
    /** No byte of the request left this VM. */
    NOT_SENT(false),
    /** The backend server reported that it did not run the request. */
    REJECTED(false),
    /**
     * The request was sent and no complete response arrived: it may have run or still be running.
     */
    UNKNOWN(true),
    /** The response was dropped before any of it was sent to the caller. */
    DROPPED(true),
    /** The backend server responded that it ran the request and failed. */
    FAILED(true),
    /** A backend server's response arrived through another VM. */
    FORWARDED(true);

    private final boolean mayHaveRun;

    AttemptEnd(final boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Returns whether the request may have run in this attempt.
     *
     * @return false only if it certainly did not run and never will
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
