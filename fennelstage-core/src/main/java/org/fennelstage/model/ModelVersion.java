package org.fennelstage.model;

import java.util.Objects;
import org.fennelstage.id.VersionId;

/**
 * A version of a model and the state that decides which requests it gets.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the version
 * @param state the state set by operators
 * @param costPerThousandTokens the cost of 1,000 tokens, in the operators' unit
 */
public record ModelVersion(VersionId id, State state, double costPerThousandTokens) {

    /** The requests that a version gets. */
    public enum State {
        /** All requests, including those that open sessions. */
        SERVING,
        /** Only requests of sessions that began on it. */
        DRAINING,
        /** No requests. */
        WITHDRAWN
    }

    public ModelVersion {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(state, "state is null");
        if (!(costPerThousandTokens >= 0)) {
            throw new IllegalArgumentException(
                    "version " + id + " has a negative cost: " + costPerThousandTokens);
        }
    }

    /**
     * Returns whether this version accepts requests that do not belong to a session.
     *
     * @return true if it is serving
     */
    public boolean acceptsNew() {
        return state == State.SERVING;
    }

    /**
     * Returns whether this version accepts requests of sessions that began on it.
     *
     * @return true unless it is withdrawn
     */
    public boolean acceptsSession() {
        return state != State.WITHDRAWN;
    }

    /**
     * Returns a copy of this version in another state.
     *
     * @param next the state
     * @return the copy
     */
    public ModelVersion withState(final State next) {
        return new ModelVersion(id, next, costPerThousandTokens);
    }
}
