package org.fennelstage.control;

import org.fennelstage.claim.Claim;

/** The end of a change to a claim. Immutable and thread-safe. */
public sealed interface ClaimAnswer {

    /** The change stands in the object API. */
    record Made() implements ClaimAnswer {}

    /**
     * The change may not be made; the key has another claim.
     *
     * @param held the claim
     */
    record Refused(Claim held) implements ClaimAnswer {}

    /**
     * Nobody can tell whether the change stands, or it does not.
     *
     * @param detail text for a person
     */
    record Unavailable(String detail) implements ClaimAnswer {}
}
