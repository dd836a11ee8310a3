package org.fennelstage.canary;

/** How far a roll-out has come, as its object in the store says. */
public enum RolloutPhase {
    /** Ordered; no VM has noted its begin yet. */
    ORDERED,
    /** A part of the traffic goes to the new version. */
    IN_PROGRESS,
    /** All traffic goes to the new version; the old one's workers are stopped. */
    COMPLETED,
    /** No traffic goes to the new version. */
    ROLLED_BACK;

    /**
     * Tells whether the roll-out has ended.
     *
     * @return true if nothing changes any more
     */
    public boolean ended() {
        return this == COMPLETED || this == ROLLED_BACK;
    }
}
