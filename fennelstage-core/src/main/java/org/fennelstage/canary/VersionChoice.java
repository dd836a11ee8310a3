package org.fennelstage.canary;

import java.util.Objects;

/**
 * Which of a service's versions a request is meant for, and what decided it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param toNew whether it is the version under roll-out
 * @param reason what decided it
 */
public record VersionChoice(boolean toNew, Reason reason) {

    /** What decides on a version. */
    public enum Reason {
        /** No roll-out is running here: none was ordered, or it ended or was halted. */
        NO_ROLLOUT,
        /** The last part of the roll-out, in which all traffic moves. */
        LAST_PART,
        /** Sessions take no part in the roll-out yet. */
        SESSIONS_STAY,
        /** The name of the session or request, against the share of the new version. */
        DRAWN
    }

    public VersionChoice {
        Objects.requireNonNull(reason, "reason is null");
    }
}
