package org.fennelstage.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;

/**
 * Counts answers and sums their ratings per profile, version and confidence bucket.
 *
 * <p>Ratings arrive late and for a sample of the answers. Answers of the cheap version are rated
 * whether or not they were used, because ratings of the used ones alone would overestimate it.
 * Thread-safe; all methods synchronize on the table.
 */
public final class RatingTable {

    /** The number of buckets of equal width that confidence is divided into. */
    public static final int BUCKETS = 10;

    /** The prior, equal to one rating of one half, so that few ratings do not decide alone. */
    private static final double PRIOR_RATING_SUM = 0.5;

    private static final double PRIOR_RATING_COUNT = 1;

    private final Map<Key, Counts> counts = new HashMap<>();

    private record Key(ProfileId profile, VersionId version) {}

    private static final class Counts {
        private final long[] ratings = new long[BUCKETS];
        private final double[] ratingSums = new double[BUCKETS];
        private final long[] answers = new long[BUCKETS];
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
     * Records an answer, whether or not it will be rated.
     *
     * @param profile the profile of the request
     * @param version the version that answered
     * @param confidence the model's confidence, in [0, 1]
     */
    public synchronized void recordAnswer(
            final ProfileId profile, final VersionId version, final double confidence) {
        counts(profile, version).answers[bucket(confidence)]++;
    }

    /**
     * Records the rating of an answer that {@link #recordAnswer} has counted.
     *
     * @param profile the profile of the request
     * @param version the version that answered
     * @param confidence the model's confidence, in [0, 1]
     * @param rating the rating, in [0, 1]
     */
    public synchronized void recordRating(
            final ProfileId profile,
            final VersionId version,
            final double confidence,
            final double rating) {
        final Counts recorded = counts(profile, version);
        recorded.ratings[bucket(confidence)]++;
        recorded.ratingSums[bucket(confidence)] += rating;
    }

    /**
     * Returns the expected rating of a version's answers.
     *
     * @param profile the profile of the requests
     * @param version the version that answers
     * @return the expected rating, in [0, 1]; one half without ratings
     */
    public synchronized double expectedRating(final ProfileId profile, final VersionId version) {
        final Counts recorded = counts(profile, version);
        double sum = 0;
        for (final double bucketSum : recorded.ratingSums) {
            sum += bucketSum;
        }
        return mean(sum, total(recorded.ratings));
    }

    /**
     * Returns the number of ratings of a version's answers.
     *
     * @param profile the profile of the requests
     * @param version the version that answered
     * @return the number of ratings
     */
    public synchronized long ratingCount(final ProfileId profile, final VersionId version) {
        return total(counts(profile, version).ratings);
    }

    /**
     * Returns the lowest bucket such that the expected mean rating reaches {@code minMean} when
     * answers from this bucket upwards are used and all others are replaced by answers of a better
     * version. Buckets with too few ratings are assumed to be as good as the better version.
     *
     * @param profile the profile of the requests
     * @param version the version that answers first
     * @param betterRating the expected rating of the better version
     * @param minMean the mean rating to reach, in [0, 1]
     * @param minBucketRating the minimum expected rating of each used bucket, in [0, 1]; keeps a
     *     high mean from hiding poor answers
     * @param minRatings the number of ratings that a bucket needs
     * @return the bucket; {@link #BUCKETS} if no bucket suffices
     */
    public synchronized int lowestUsableBucket(
            final ProfileId profile,
            final VersionId version,
            final double betterRating,
            final double minMean,
            final double minBucketRating,
            final int minRatings) {
        final Counts recorded = counts(profile, version);
        final long all = total(recorded.answers);
        double mean = betterRating;
        int lowest = BUCKETS;
        for (int i = BUCKETS - 1; i >= 0; i--) {
            if (recorded.ratings[i] < minRatings) {
                continue;
            }
            final double expected = mean(recorded.ratingSums[i], recorded.ratings[i]);
            mean += (double) recorded.answers[i] / all * (expected - betterRating);
            if (mean < minMean || expected < minBucketRating) {
                break;
            }
            lowest = i;
        }
        return lowest;
    }

    /**
     * Returns the share of answers in or above a bucket.
     *
     * @param profile the profile of the requests
     * @param version the version that answers
     * @param lowest the lowest bucket that counts
     * @return the share, in [0, 1]; 0 without answers
     */
    public synchronized double shareFrom(
            final ProfileId profile, final VersionId version, final int lowest) {
        final Counts recorded = counts(profile, version);
        long counted = 0;
        for (int i = lowest; i < BUCKETS; i++) {
            counted += recorded.answers[i];
        }
        final long all = total(recorded.answers);
        return all == 0 ? 0 : (double) counted / all;
    }

    private Counts counts(final ProfileId profile, final VersionId version) {
        Objects.requireNonNull(profile, "profile is null");
        return counts.computeIfAbsent(new Key(profile, version), k -> new Counts());
    }

    private static double mean(final double ratingSum, final long ratingCount) {
        return (ratingSum + PRIOR_RATING_SUM) / (ratingCount + PRIOR_RATING_COUNT);
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
     * @param confidence the model's confidence, in [0, 1]
     * @return the bucket, in [0, {@link #BUCKETS})
     */
    static int bucket(final double confidence) {
        return Math.max(0, Math.min(BUCKETS - 1, (int) (confidence * BUCKETS)));
    }
}
