package org.fennelstage.claim;

import java.util.Objects;

/**
 * One step that a holder wants to make on a key. Immutable and thread-safe.
 *
 * @param key team and idempotency key
 * @param claim the claim that is to stand afterwards
 */
public record ClaimChange(String key, Claim claim) {

    public ClaimChange {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(claim, "claim is null");
    }
}
