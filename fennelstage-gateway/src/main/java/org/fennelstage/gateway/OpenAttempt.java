package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Optional;

/** An attempt of a request that has not ended. Not thread-safe; confined to the event loop. */
interface OpenAttempt {

    /** Cancels the attempt: closes its connection, upon which the other side drops the request. */
    void cancel();

    /** Returns how long ago the request was written, empty if it was not written yet. */
    Optional<Duration> sinceWritten();

    /** Pauses or resumes reading, for backpressure from the caller. */
    void pause(boolean pause);
}
