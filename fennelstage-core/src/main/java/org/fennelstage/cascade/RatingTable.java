package org.fennelstage.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;

/**
 * How often a version's answers to a profile's requests pass, by the confidence that the engine
 * gave.
 *
 * <p>Ratings come late and for a sample only. Answers of a cheap model are rated whether they were
 * used or not, since the rejected ones are the poorer: rated alone, the used ones would make the
 * model look better than it is. Thread-safe; one monitor guards the table.
 */
public final class RatingTable {

    /** Confidence is divided into this many equal parts. */
    public static final int BUCKETS = 10;

    /** Before any rating an answer is expected to be half good. */
    private static final double PRIOR_SUM = 0.5;

    private static final double PRIOR_RATED = 1;

    private final Map<Arm, Counts> counts = new HashMap<>();

    private record Arm(ProfileId profile, VersionId version) {}

    private static final class Counts {
        private final long[] rated = new long[BUCKETS];
        private final double[] sum = new double[BUCKETS];
        private final long[] seen = new long[BUCKETS];
    }

    private RatingTable() {}

    /**
     * Returns a table without ratings.
     *
     * @return the table
     */
    public static RatingTable empty() {
        return new RatingTable();
    }

    /**
     * Notes an answer, rated or not.
     *
     * @param profile the profile asked for
     * @param version what answered
     * @param confidence the engine's confidence, in [0, 1]
     */
    public synchronized void recordAnswer(
            final ProfileId profile, final VersionId version, final double confidence) {
        counts(profile, version).seen[bucket(confidence)]++;
    }

    /**
     * Notes a rating.
     *
     * @param profile the profile asked for
     * @param version what answered
     * @param confidence the engine's confidence, in [0, 1]
     * @param rating the rating, in [0, 1]
     */
    public synchronized void recordRating(
            final ProfileId profile,
            final VersionId version,
            final double confidence,
            final double rating) {
        final Counts arm = counts(profile, version);
        arm.rated[bucket(confidence)]++;
        arm.sum[bucket(confidence)] += rating;
    }

    /**
     * Returns the expected rating of an answer.
     *
     * @param profile the profile asked for
     * @param version what answers
     * @return the expected rating, one half before any
     */
    public synchronized double expectedRating(final ProfileId profile, final VersionId version) {
        final Counts arm = counts(profile, version);
        double sum = 0;
        for (final double part : arm.sum) {
            sum += part;
        }
        return mean(sum, total(arm.rated));
    }

    /**
     * Returns how many ratings there are.
     *
     * @param profile the profile asked for
     * @param version what answered
     * @return the count
     */
    public synchronized long ratingCount(final ProfileId profile, final VersionId version) {
        return total(counts(profile, version).rated);
    }

    /**
     * Finds how little confidence suffices: the lowest bucket such that, with the answers from it
     * upwards used and all others replaced by those of a better version, the mean rating reaches a
     * bound. Buckets with too few ratings are thought as good as the better version.
     *
     * @param profile the profile asked for
     * @param version what answers first
     * @param better the expected rating of the better version
     * @param least the bound
     * @param floor the least expected rating of a bucket that is used; a good mean must not hide
     *     answers that are far from good
     * @param leastRated how many ratings a bucket needs
     * @return the bucket, {@link #BUCKETS} if none suffices
     */
    public synchronized int lowestUsable(
            final ProfileId profile,
            final VersionId version,
            final double better,
            final double least,
            final double floor,
            final int leastRated) {
        final Counts arm = counts(profile, version);
        final long all = total(arm.seen);
        double mean = better;
        int lowest = BUCKETS;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            if (arm.rated[i] < leastRated) {
                continue;
            }
            final double expected = mean(arm.sum[i], arm.rated[i]);
            mean += (double) arm.seen[i] / all * (expected - better);
            if (mean < least || expected < floor) {
                break;
            }
            lowest = i;
        }
        return lowest;
    }

    /**
     * Returns the share of answers in and above a bucket.
     *
     * @param profile the profile asked for
     * @param version what answers
     * @param lowest the bucket
     * @return the share, in [0, 1]; 0 before any answer
     */
    public synchronized double shareFrom(
            final ProfileId profile, final VersionId version, final int lowest) {
        final Counts arm = counts(profile, version);
        long reached = 0;
        for (int i = lowest; i < BUCKETS; i++) {
            reached += arm.seen[i];
        }
        final long all = total(arm.seen);
        return all == 0 ? 0 : (double) reached / all;
    }

    private Counts counts(final ProfileId profile, final VersionId version) {
        Objects.requireNonNull(profile, "profile is null");
        return counts.computeIfAbsent(new Arm(profile, version), a -> new Counts());
    }

    private static double mean(final double sum, final long rated) {
        return (sum + PRIOR_SUM) / (rated + PRIOR_RATED);
    }

    private static long total(final long[] values) {
        long sum = 0;
        for (final long value : values) {
            sum += value;
        }
        return sum;
    }

    /**
     * Returns the bucket of a confidence.
     *
     * @param confidence the engine's confidence, in [0, 1]
     * @return its bucket, from 0
     */
    static int bucket(final double confidence) {
        return Math.max(0, Math.min(BUCKETS - 1, (int) (confidence * BUCKETS)));
    }
}
