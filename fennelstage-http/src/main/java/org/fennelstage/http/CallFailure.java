package org.fennelstage.http;

import java.util.Objects;

/**
 * Why a call has no whole response. Immutable and thread-safe.
 *
 * @param phase how far the request got
 * @param reusedConnection whether the request went out on a connection that had rested and brought
 *     no byte: the server may have dropped the connection before, which says nothing of its health
 * @param detail text for a person
 */
public record CallFailure(Phase phase, boolean reusedConnection, String detail) {

    /** How far the request got. */
    public enum Phase {
        /** No byte of the request left this process; it cannot have run. */
        NOT_SENT,
        /**
         * The server took the connection and closed it before the request went out; it cannot have
         * run. So do servers that have as many connections as they accept, and are well.
         */
        CONNECTION_REJECTED,
        /** Bytes may have arrived; it may have run. */
        MAYBE_SENT,
        /** The response had begun. */
        RESPONDING
    }

    public CallFailure {
        Objects.requireNonNull(phase, "phase is null");
        Objects.requireNonNull(detail, "detail is null");
    }

    /**
     * Tells whether the request certainly did not leave this process.
     *
     * @return true if it cannot have run
     */
    public boolean notSent() {
        return phase == Phase.NOT_SENT || phase == Phase.CONNECTION_REJECTED;
    }
}
