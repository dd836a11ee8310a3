package org.fennelstage.gateway;

/** An attempt of a request that has not ended. Not thread-safe; confined to the event loop. */
interface OpenAttempt {

    /** Cancels the attempt: closes its connection, upon which the other side drops the request. */
    void cancel();

    /** Pauses or resumes reading, for backpressure from the caller. */
    void pause(boolean pause);
}
