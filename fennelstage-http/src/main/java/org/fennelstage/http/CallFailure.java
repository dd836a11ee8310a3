package org.fennelstage.http;

import java.util.Objects;

/**
 * Why a call has no whole response. Immutable and thread-safe.
 *
 * @param phase how far the request got
 * @param keptConnection whether the request went out on a connection that had rested and brought no
 *     byte: the server may have dropped the connection before, which says nothing of its health
 * @param detail text for a person
 */
public record CallFailure(Phase phase, boolean keptConnection, String detail) {

    /** How far the request got. */
    public enum Phase {
        /** No byte of the request left this process; it cannot have run. */
        NOT_SENT,
        /** Bytes may have arrived; it may have run. */
        MAYBE_SENT,
        /** The response had begun. */
        RESPONDING
    }

    public CallFailure {
        Objects.requireNonNull(phase, "phase is null");
        Objects.requireNonNull(detail, "detail is null");
    }
}
