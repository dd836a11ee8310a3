package org.fennelstage.canary;

import java.util.Objects;

/**
 * The decision whether a request goes to the new version of a service, with its reason.
 *
 * <p>Immutable and thread-safe.
 *
 * @param toNew whether the request goes to the new version
 * @param reason why
 */
public record VersionChoice(boolean toNew, Reason reason) {

    /** The reason of a decision; written to the log by name. */
    public enum Reason {
        /** No rollout runs at this VM: none was ordered, or it was completed or halted. */
        NO_ROLLOUT,
        /** The final part of the rollout has begun, in which all traffic moves. */
        LAST_PART,
        /** The final part, by a request that tests the new version under load. */
        LOAD_TEST,
        /** Sessions do not take part in the rollout yet. */
        SESSIONS_STAY,
        /** The hash of the session's or request's name was compared with the share. */
        DRAWN
    }

    public VersionChoice {
        Objects.requireNonNull(reason, "reason is null");
    }
}
