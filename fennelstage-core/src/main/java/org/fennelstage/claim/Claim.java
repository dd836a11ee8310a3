package org.fennelstage.claim;

import java.util.Objects;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VmId;

/**
 * The right of one attempt to run a request that must not run twice.
 *
 * <p>Immutable and thread-safe.
 *
 * @param holder the request id of the attempt that holds the right; unique per attempt of a caller
 * @param vm the VM that runs it
 * @param state how far it got
 * @param atMillis when it was taken; milliseconds since the epoch
 */
public record Claim(RequestId holder, VmId vm, State state, long atMillis) {

    /** How far the holder got, as far as the store knows. */
    public enum State {
        /** It may be running or have run. */
        HELD,
        /** It ran to its end. */
        DONE,
        /** It gave the right back without having run; the key is free again. */
        RELEASED
    }

    public Claim {
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(vm, "vm is null");
        Objects.requireNonNull(state, "state is null");
    }

    /**
     * Returns this claim in another state.
     *
     * @param next the state
     * @return the claim
     */
    public Claim withState(final State next) {
        return new Claim(holder, vm, next, atMillis);
    }
}
