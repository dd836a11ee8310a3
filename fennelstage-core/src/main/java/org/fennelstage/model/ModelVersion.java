package org.fennelstage.model;

import java.util.Objects;
import org.fennelstage.id.VersionId;

/**
 * One version of a model and what may be sent to it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the version
 * @param state what it may be given
 * @param costPerThousandTokens the price in the operators' unit of account
 */
public record ModelVersion(VersionId id, State state, double costPerThousandTokens) {

    /** What a version may be given. */
    public enum State {
        /** New sessions and requests. */
        SERVING,
        /** Requests of sessions that began on it, nothing else. */
        DRAINING,
        /** Nothing. */
        WITHDRAWN
    }

    public ModelVersion {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(state, "state is null");
        if (!(costPerThousandTokens >= 0)) {
            throw new IllegalArgumentException("version " + id + ": negative cost");
        }
    }

    /**
     * Tells whether a request without a session may go to this version.
     *
     * @return true while serving
     */
    public boolean acceptsNew() {
        return state == State.SERVING;
    }

    /**
     * Tells whether a request of a session that began on this version may go to it.
     *
     * @return true unless withdrawn
     */
    public boolean acceptsSession() {
        return state != State.WITHDRAWN;
    }

    /**
     * Returns this version in another state.
     *
     * @param next the state
     * @return the version
     */
    public ModelVersion withState(final State next) {
        return new ModelVersion(id, next, costPerThousandTokens);
    }
}
