package org.fennelstage.control;

import org.fennelstage.claim.Claim;

/** The result of a change to a claim. Immutable and thread-safe. */
public sealed interface ClaimAnswer {

    /** The store holds the change. */
    record Made() implements ClaimAnswer {}

    /**
     * The change conflicts with the current claim of the key.
     *
     * @param held the current claim
     */
    record Refused(Claim held) implements ClaimAnswer {}

    /**
     * The change was not confirmed; it may or may not take effect.
     *
     * @param detail the reason, for operators
     */
    record Unavailable(String detail) implements ClaimAnswer {}
}
