package org.fennelstage.control;

/**
 * The answer to a request for one exposure of a candidate. Immutable and thread-safe.
 *
 * @param granted whether one request may go to the candidate
 * @param step the roll-out's present step, from 0
 * @param halted whether the candidate was found bad
 * @param done whether the roll-out is complete
 */
public record Share(boolean granted, int step, boolean halted, boolean done) {

    /** Nobody answered: the proven version serves. */
    public static final Share NONE = new Share(false, 0, false, false);
}
