package org.fennelstage.cascade;

import java.util.Objects;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;
import org.fennelstage.profile.Profile;

/**
 * Decides per request whether the cheap version, the best version, or a cascade of both answers.
 *
 * <p>The target is the mean rating that the profile promises. Invariants: a cascade is chosen only
 * if both answers fit before the deadline; cheap answers are used from the lowest confidence at
 * which the expected mean rating of all answers reaches the target; no cheap answer is used while
 * no confidence bucket has enough ratings. Thread-safe.
 */
public final class CascadePolicy {

    /** Added to the promised rating to allow for estimation error. */
    private static final double RATING_MARGIN = 0.02;

    /** Cheap answers with an expected rating below this share of the promised one are not used. */
    private static final double MIN_BUCKET_RATING_SHARE = 0.9;

    /** The number of ratings that a confidence bucket needs to be considered. */
    private static final int MIN_BUCKET_RATINGS = 12;

    /** The number of ratings that the cheap version needs before it answers without a cascade. */
    private static final int MIN_RATINGS_FOR_CHEAP = 100;

    /** The minimum expected saving of a cascade, as a share of the best version's cost. */
    private static final double MIN_SAVING_SHARE = 0.1;

    /** The share of requests that take a cascade regardless of its saving, to collect ratings. */
    private static final double EXPLORATION_SHARE = 0.05;

    private final RatingTable table;

    private CascadePolicy(final RatingTable table) {
        this.table = Objects.requireNonNull(table, "table is null");
    }

    /** Which versions answer a request. */
    public enum Plan {
        /** The cheap version answers; its response is streamed as it arrives. */
        CHEAP,
        /** The cheap version answers first; its answer is withheld until it is accepted. */
        CASCADE,
        /** The best version answers. */
        BEST
    }

    /**
     * A version that may answer. Immutable and thread-safe.
     *
     * @param version the version
     * @param cost the cost of an answer, in any unit common to all options
     * @param seconds the expected time to the complete answer; seconds
     */
    public record Option(VersionId version, double cost, double seconds) {}

    /**
     * Returns a policy that decides by the ratings of a table.
     *
     * @param table the ratings
     * @return the policy
     */
    public static CascadePolicy of(final RatingTable table) {
        return new CascadePolicy(table);
    }

    /**
     * Chooses the plan for one request.
     *
     * @param profile the profile of the request
     * @param cheap the cheap version
     * @param best the best version
     * @param secondsLeft the time to the deadline; seconds
     * @param explorationPoint the request's random number in [0, 1); a low one forces exploration
     * @return the plan
     */
    public Plan plan(
            final Profile profile,
            final Option cheap,
            final Option best,
            final double secondsLeft,
            final double explorationPoint) {
        final ProfileId id = profile.id();
        final double minRating = profile.quality() + RATING_MARGIN;
        final boolean hasEnoughRatings =
                table.ratingCount(id, cheap.version()) >= MIN_RATINGS_FOR_CHEAP;
        if (hasEnoughRatings && table.expectedRating(id, cheap.version()) >= minRating) {
            return Plan.CHEAP;
        }
        if (cheap.seconds() + best.seconds() > secondsLeft) {
            return Plan.BEST;
        }
        if (!hasEnoughRatings || explorationPoint < EXPLORATION_SHARE) {
            return Plan.CASCADE;
        }
        final double acceptedShare =
                table.shareFrom(
                        id,
                        cheap.version(),
                        lowestAcceptedBucket(profile, cheap.version(), best.version()));
        final double expectedCost = cheap.cost() + (1 - acceptedShare) * best.cost();
        return expectedCost <= best.cost() * (1 - MIN_SAVING_SHARE) ? Plan.CASCADE : Plan.BEST;
    }

    /**
     * Returns whether a cheap answer is good enough to be used.
     *
     * @param profile the profile of the request
     * @param cheap the cheap version
     * @param best the version that answers otherwise
     * @param confidence the cheap model's confidence in its answer, in [0, 1]
     * @return true if the answer is to be used
     */
    public boolean accepts(
            final Profile profile,
            final VersionId cheap,
            final VersionId best,
            final double confidence) {
        return RatingTable.bucket(confidence) >= lowestAcceptedBucket(profile, cheap, best);
    }

    private int lowestAcceptedBucket(
            final Profile profile, final VersionId cheap, final VersionId best) {
        return table.lowestUsableBucket(
                profile.id(),
                cheap,
                table.expectedRating(profile.id(), best),
                profile.quality() + RATING_MARGIN,
                profile.quality() * MIN_BUCKET_RATING_SHARE,
                MIN_BUCKET_RATINGS);
    }
}
