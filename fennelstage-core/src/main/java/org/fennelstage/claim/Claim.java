package org.fennelstage.claim;

import java.util.Objects;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VmId;

/**
 * The exclusive right of a request to run under its idempotency key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the id of the request that made the claim; a caller's further request with the same
 *     key has another id
 * @param vm the VM that handles the request
 * @param state the state of the claim
 * @param atMillis when the holder requested this claim or change; milliseconds since the epoch
 */
public record Claim(RequestId holder, VmId vm, State state, long atMillis) {

    /** The state of a claim in the store. */
    public enum State {
        /** The request may be running or may have run. */
        HELD,
        /** The request ran to its end. */
        DONE,
        /** The request did not run; another request may claim the key. */
        RELEASED
    }

    public Claim {
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(vm, "vm is null");
        Objects.requireNonNull(state, "state is null");
    }

    /**
     * Returns this claim with another state.
     *
     * @param next the new state
     * @return the claim
     */
    public Claim withState(final State next) {
        return new Claim(holder, vm, next, atMillis);
    }
}
