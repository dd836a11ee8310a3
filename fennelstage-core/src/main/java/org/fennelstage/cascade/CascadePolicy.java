package org.fennelstage.cascade;

import java.util.Objects;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;
import org.fennelstage.profile.Profile;

/**
 * Decides whether the cheap version answers, the best one, or the best one after the cheap one.
 *
 * <p>Good enough is what the profile promises: a mean rating. Laws: without time for both answers
 * there is no cascade; cheap answers are used from that confidence upwards from which the mean over
 * all answers is expected to reach the promise; until ratings tell, the best version answers.
 * Thread-safe, since the table is.
 */
public final class CascadePolicy {

    /** How far above the promise the expected rating must lie, since estimates err. */
    private static final double MARGIN = 0.02;

    /** Cheap answers expected below this share of the promise are used for no caller. */
    private static final double FLOOR_SHARE = 0.9;

    /** A confidence counts only after this many ratings. */
    private static final int LEAST_RATED = 12;

    /**
     * Ratings of the cheap version before its answers go out without a look at their confidence.
     */
    private static final int LEAST_RATED_DIRECT = 100;

    /** A cascade must be expected to save this share of the cost. */
    private static final double LEAST_SAVING = 0.1;

    /** The share of requests that go through a cascade to keep on learning. */
    private static final double EXPLORE = 0.05;

    private final RatingTable table;

    private CascadePolicy(final RatingTable table) {
        this.table = Objects.requireNonNull(table, "table is null");
    }

    /** What a request does. */
    public enum Plan {
        /** The cheap version answers, and its answer streams at once. */
        CHEAP,
        /** The cheap version answers first; its answer is held back until it is accepted. */
        CASCADE,
        /** The best version answers. */
        BEST
    }

    /**
     * One version that may answer. Immutable and thread-safe.
     *
     * @param version the version
     * @param cost the cost of an answer
     * @param seconds the time to a whole answer
     */
    public record Option(VersionId version, double cost, double seconds) {}

    /**
     * Returns a policy that learns from a table.
     *
     * @param table the ratings
     * @return the policy
     */
    public static CascadePolicy of(final RatingTable table) {
        return new CascadePolicy(table);
    }

    /**
     * Decides for one request.
     *
     * @param profile the profile asked for
     * @param cheap the cheap version
     * @param best the best version
     * @param secondsLeft the time to the deadline
     * @param point a number in [0, 1) that decides whether to explore
     * @return the plan
     */
    public Plan plan(
            final Profile profile,
            final Option cheap,
            final Option best,
            final double secondsLeft,
            final double point) {
        final ProfileId id = profile.id();
        final double least = profile.quality() + MARGIN;
        final boolean cheapIsKnown = table.ratingCount(id, cheap.version()) >= LEAST_RATED_DIRECT;
        if (cheapIsKnown && table.expectedRating(id, cheap.version()) >= least) {
            return Plan.CHEAP;
        }
        if (cheap.seconds() + best.seconds() > secondsLeft) {
            return Plan.BEST;
        }
        if (!cheapIsKnown || point < EXPLORE) {
            return Plan.CASCADE;
        }
        final double accepted =
                table.shareFrom(
                        id, cheap.version(), lowest(profile, cheap.version(), best.version()));
        final double expected = cheap.cost() + (1 - accepted) * best.cost();
        return expected <= best.cost() * (1 - LEAST_SAVING) ? Plan.CASCADE : Plan.BEST;
    }

    /**
     * Decides whether a cheap answer is good enough.
     *
     * @param profile the profile asked for
     * @param cheap the cheap version
     * @param best the version that would answer instead
     * @param confidence the engine's confidence in the answer, in [0, 1]
     * @return true if it is
     */
    public boolean accepts(
            final Profile profile,
            final VersionId cheap,
            final VersionId best,
            final double confidence) {
        return RatingTable.bucket(confidence) >= lowest(profile, cheap, best);
    }

    private int lowest(final Profile profile, final VersionId cheap, final VersionId best) {
        return table.lowestUsable(
                profile.id(),
                cheap,
                table.expectedRating(profile.id(), best),
                profile.quality() + MARGIN,
                profile.quality() * FLOOR_SHARE,
                LEAST_RATED);
    }
}
