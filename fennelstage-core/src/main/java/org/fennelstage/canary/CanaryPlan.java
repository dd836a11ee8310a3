package org.fennelstage.canary;

import java.time.Duration;

/**
 * The share of requests that the new version gets over the time of a roll-out.
 *
 * <p>A version may turn bad late or under load, so nothing seen early proves it good. The share
 * therefore stays small until shortly before the end and all traffic moves then: if the version
 * turns out bad even after the move, its requests over the whole time are still within the allowed
 * share. With the allowed share 0.15: requests without a session 0.07 for 92 in 100 of the time and
 * all of them after it, 0.14; those of sessions 0.12 for 37 in 100 of the time and then all, 0.12.
 *
 * <p>Sessions join after the first half only. A session that is under way when the order comes has
 * to keep its version for that long, and no VM can tell it from one that has just begun: it may
 * come from any other VM. So the plan knows no sessions, only the time and a draw on the name,
 * which give the same answer at all VMs.
 *
 * <p>Laws: the share of sessions never falls, so a session that has moved does not move back;
 * {@code share} of either kind, averaged over the time, is below the allowed share.
 *
 * <p>Immutable and thread-safe.
 *
 * @param duration the time by which the roll-out is to be decided
 * @param allowedShare the largest part of all requests that a bad version may get
 */
public record CanaryPlan(Duration duration, double allowedShare) {

    /**
     * Part of the allowed share that requests without a session get before the move; the rest pays
     * for the move.
     */
    private static final double EARLY_PART = 0.47;

    /**
     * Part of the allowed share that sessions get from their begin to the move. More at a time than
     * the others, since they have less than half of the time to show a bad version, and 0.8 of the
     * allowed share over the whole time.
     */
    private static final double SESSION_PART = 0.8;

    /**
     * When sessions join, as a part of the roll-out's time: half of it, and as much after it as VMs
     * may differ in their view of the time passed, so that none joins in the first half by
     * anybody's clock.
     */
    private static final double SESSIONS_FROM = 0.55;

    /** Part of the allowed share that the move may use up; the rest is for uneven traffic. */
    private static final double MOVE_PART = 0.5;

    /**
     * How long before the end of the time the completion is written; milliseconds. Whoever gave the
     * order has to read it in time, VMs write it one after the other, and hear of the order some
     * time after it was given. Written later, good versions count as late.
     */
    private static final long TO_SPARE_MILLIS = 750;

    /**
     * The same as a part of the move at most, for short roll-outs: work in flight gets the rest of
     * the move before the old version's workers stop, and the new version shows how it bears it
     * all.
     */
    private static final double MOST_TO_SPARE_PART_OF_MOVE = 0.65;

    /**
     * Returns the share of requests that belong to no session.
     *
     * @param elapsed the time since the order
     * @return the share in [0, 1]
     */
    public double share(final Duration elapsed) {
        return moving(elapsed) ? 1 : allowedShare * EARLY_PART;
    }

    /**
     * Returns the share of sessions.
     *
     * @param elapsed the time since the order
     * @return the share in [0, 1]
     */
    public double sessionShare(final Duration elapsed) {
        if (moving(elapsed)) {
            return 1;
        }
        return sessionsJoin(elapsed) ? allowedShare * SESSION_PART : 0;
    }

    /**
     * Tells whether sessions take part in the roll-out yet.
     *
     * @param elapsed the time since the order
     * @return false in its first half and shortly after it
     */
    public boolean sessionsJoin(final Duration elapsed) {
        return elapsed.toMillis() >= duration.toMillis() * SESSIONS_FROM;
    }

    /**
     * Tells whether all traffic goes to the new version.
     *
     * @param elapsed the time since the order
     * @return true in the last part of the roll-out
     */
    public boolean moving(final Duration elapsed) {
        return elapsed.toMillis() >= moveAtMillis();
    }

    /**
     * Tells whether the completion is to be written.
     *
     * @param elapsed the time since the order
     * @return true once all traffic has moved and old work had time to end
     */
    public boolean complete(final Duration elapsed) {
        final double move = duration.toMillis() - moveAtMillis();
        final double toSpare = Math.min(TO_SPARE_MILLIS, move * MOST_TO_SPARE_PART_OF_MOVE);
        return elapsed.toMillis() >= duration.toMillis() - toSpare;
    }

    private double moveAtMillis() {
        return duration.toMillis() * (1 - allowedShare * MOVE_PART);
    }
}
