package org.fennelstage.claim;

import java.util.Objects;

/**
 * A requested change of the claim on a key. Immutable and thread-safe.
 *
 * @param key team and idempotency key
 * @param claim the claim after the change
 */
public record ClaimChange(String key, Claim claim) {

    public ClaimChange {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(claim, "claim is null");
    }
}
