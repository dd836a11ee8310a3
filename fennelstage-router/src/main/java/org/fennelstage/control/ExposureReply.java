package org.fennelstage.control;

/**
 * The keeper's reply to a request for one exposure of a new version. Immutable and thread-safe.
 *
 * @param granted true if one request may go to the new version
 * @param step the current step of the rollout, from 0
 * @param halted true if the rollout is halted
 * @param done true if the rollout is complete
 */
public record ExposureReply(boolean granted, int step, boolean halted, boolean done) {

    /** Used when the keeper does not reply; the current version serves the request. */
    public static final ExposureReply NONE = new ExposureReply(false, 0, false, false);
}
