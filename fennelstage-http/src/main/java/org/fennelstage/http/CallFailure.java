package org.fennelstage.http;

import java.util.Objects;

/**
 * Why a call got no complete response. Immutable and thread-safe.
 *
 * @param phase how far the request got
 * @param reusedConnection whether the request was sent on a reused connection and no response was
 *     begun: the server may have closed the connection while it was idle, which is no sign of a
 *     failure
 * @param detail a description for logs and error messages
 */
public record CallFailure(Phase phase, boolean reusedConnection, String detail) {

    /** How far the request got. */
    public enum Phase {
        /** The request was not sent; it cannot have run. */
        NOT_SENT,
        /**
         * The server accepted the connection and closed it before the request was sent; it cannot
         * have run. A healthy server does this at its connection limit. Also reported for a
         * connection that could not be opened because this process was paused.
         */
        CONNECTION_REJECTED,
        /** The request may have reached the server; it may have run. */
        MAYBE_SENT,
        /** A part of the response was received. */
        RESPONDING
    }

    public CallFailure {
        Objects.requireNonNull(phase, "phase is null");
        Objects.requireNonNull(detail, "detail is null");
    }

    /**
     * Returns whether the request was certainly not sent.
     *
     * @return true if it cannot have run
     */
    public boolean notSent() {
        return phase == Phase.NOT_SENT || phase == Phase.CONNECTION_REJECTED;
    }
}
