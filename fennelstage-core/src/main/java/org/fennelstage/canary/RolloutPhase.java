package org.fennelstage.canary;

/** The phase of a rollout, as stored with its order. */
public enum RolloutPhase {
    /** The order was given; no VM has recorded its start yet. */
    ORDERED,
    /** Part of the traffic goes to the new version. */
    IN_PROGRESS,
    /** All traffic goes to the new version, and the former version's backend servers stop. */
    COMPLETED,
    /** The rollout was halted, and no traffic goes to the new version. */
    ROLLED_BACK;

    /**
     * Returns whether the rollout has ended.
     *
     * @return true if the phase is final
     */
    public boolean ended() {
        return this == COMPLETED || this == ROLLED_BACK;
    }
}
