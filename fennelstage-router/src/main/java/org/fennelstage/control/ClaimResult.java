package org.fennelstage.control;

import org.fennelstage.claim.Claim;

/** The result of a change to a claim. Immutable and thread-safe. */
public sealed interface ClaimResult {

    /** The change is in the store. */
    record Made() implements ClaimResult {}

    /**
     * The change conflicts with the current claim of the key.
     *
     * @param current the current claim
     */
    record Conflict(Claim current) implements ClaimResult {}

    /**
     * The change was not confirmed; it may or may not take effect.
     *
     * @param detail the cause, for operators
     */
    record Unavailable(String detail) implements ClaimResult {}
}
