package org.fennelstage.canary;

import java.time.Duration;

/**
 * The share of requests that the new version gets over the duration of a rollout.
 *
 * <p>A version may become bad late or under load. Its share therefore stays small until shortly
 * before the end, when all traffic moves, sessions first: even if the version is bad after the
 * move, its requests over the whole duration stay within the allowed share. For an allowed share of
 * 0.15, requests without a session get 0.07 during the first 92 % of the duration and then 1, 0.14
 * on average; sessions get 0.06 from 55 % to 90 % and then 1, 0.12 on average. Most of the share of
 * sessions is for the move, since only all traffic exposes a version to the load that it has to
 * bear.
 *
 * <p>Sessions join only after the first half, since a session that runs when the order is given
 * must keep its version for that long. No VM can tell it from a new session, whose requests may
 * arrive through any VM. The share therefore depends on the time alone, which gives the same result
 * at all VMs.
 *
 * <p>Invariants: the share of sessions never decreases, so that no session moves back; {@code
 * share} and {@code sessionShare}, averaged over the duration, are below the allowed share.
 *
 * <p>Immutable and thread-safe.
 *
 * @param duration the time after the order by which the rollout is to be completed or halted
 * @param allowedShare the largest share of all requests that a bad version may get
 */
public record CanaryPlan(Duration duration, double allowedShare) {

    /**
     * Share of requests without a session before the move, as a part of the allowed share. The rest
     * is for the move, when the new version gets more.
     */
    private static final double REQUEST_PART = 0.47;

    /**
     * Share of sessions before the move, as a part of the allowed share; with the move they get 0.8
     * of it over the whole duration.
     */
    private static final double SESSION_PART = 0.4;

    /**
     * When sessions join, as a part of the duration: after the first half, with a margin for
     * differences between the VMs in the elapsed time.
     */
    private static final double SESSIONS_FROM = 0.55;

    /** Part of the allowed share that the final move may use; the rest covers uneven traffic. */
    private static final double MOVE_PART = 0.5;

    /** The same for sessions, which get nothing in the first half. */
    private static final double SESSION_MOVE_PART = 0.65;

    /**
     * How long before the end of the duration the completion is written; milliseconds. The margin
     * covers the delay until VMs receive the order, write the completion one after the other, and
     * the operator reads it; with less, good versions would count as late.
     */
    private static final long COMPLETION_MARGIN_MILLIS = 750;

    /** The least margin; milliseconds. */
    private static final long MIN_COMPLETION_MARGIN_MILLIS = 250;

    /**
     * Largest margin as a part of the final move. In short rollouts, the rest of the move lets
     * requests in flight end before the current version's backend servers stop, and exposes the new
     * version to the full load.
     */
    private static final double MAX_MARGIN_PART_OF_MOVE = 0.65;

    /**
     * Returns the new version's share of requests that belong to no session.
     *
     * @param elapsed the time since the order
     * @return the share in [0, 1]
     */
    public double share(final Duration elapsed) {
        return allTrafficMoved(elapsed) ? 1 : allowedShare * REQUEST_PART;
    }

    /**
     * Returns the new version's share of sessions.
     *
     * @param elapsed the time since the order
     * @return the share in [0, 1]
     */
    public double sessionShare(final Duration elapsed) {
        if (sessionsMoved(elapsed)) {
            return 1;
        }
        return includesSessions(elapsed) ? allowedShare * SESSION_PART : 0;
    }

    /**
     * Returns whether sessions take part in the rollout.
     *
     * @param elapsed the time since the order
     * @return false in the first half of the duration and shortly after it
     */
    public boolean includesSessions(final Duration elapsed) {
        return elapsed.toMillis() >= duration.toMillis() * SESSIONS_FROM;
    }

    /**
     * Returns whether all sessions go to the new version.
     *
     * @param elapsed the time since the order
     * @return true in the final part of the duration
     */
    public boolean sessionsMoved(final Duration elapsed) {
        return elapsed.toMillis() >= moveAtMillis(SESSION_MOVE_PART);
    }

    /**
     * Returns whether all traffic goes to the new version.
     *
     * @param elapsed the time since the order
     * @return true in the final part of the duration
     */
    public boolean allTrafficMoved(final Duration elapsed) {
        return elapsed.toMillis() >= moveAtMillis(MOVE_PART);
    }

    /**
     * Returns whether the completion is to be written.
     *
     * @param elapsed the time since the order
     * @return true once all traffic has moved and earlier requests have had time to end
     */
    public boolean isComplete(final Duration elapsed) {
        final double moveMillis = duration.toMillis() - moveAtMillis(MOVE_PART);
        final double marginMillis =
                Math.min(COMPLETION_MARGIN_MILLIS, moveMillis * MAX_MARGIN_PART_OF_MOVE);
        return elapsed.toMillis() >= duration.toMillis() - marginMillis;
    }

    /**
     * Returns whether a completion that is due can be written later and still be read in time.
     *
     * @param elapsed the time since the order
     * @return false near the end of the duration
     */
    public boolean mayPostponeCompletion(final Duration elapsed) {
        return elapsed.toMillis() < duration.toMillis() - MIN_COMPLETION_MARGIN_MILLIS;
    }

    /**
     * Returns the time by which the shares are to be chosen while the move is held back.
     *
     * @param elapsed the time since the order
     * @return the same time, at most the last moment before the move of sessions
     */
    public Duration beforeMove(final Duration elapsed) {
        final long moveAtMillis = (long) Math.ceil(moveAtMillis(SESSION_MOVE_PART));
        final Duration last = Duration.ofMillis(moveAtMillis - 1);
        return elapsed.compareTo(last) < 0 ? elapsed : last;
    }

    private double moveAtMillis(final double movePart) {
        return duration.toMillis() * (1 - allowedShare * movePart);
    }
}
