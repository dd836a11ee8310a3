package org.fennelstage.bench;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.fennelstage.cascade.CascadePolicy;
import org.fennelstage.cascade.RatingTable;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.VersionId;
import org.fennelstage.profile.Profile;

/**
 * Compares cost, quality and missed deadlines of cascade policies by simulation, for the request
 * mixes of two deployments. Ratings arrive late and for a sample of the answers. The confidence of
 * a model is the quality of its answer plus noise.
 */
public final class CascadeMain {

    private static final int REQUEST_COUNT = 40_000;
    private static final double RATED_SHARE = 0.2;
    private static final int RATING_DELAY_REQUESTS = 200;

    /** The mean quality of the cheap version's answers to requests of difficulty 0, in [0, 1]. */
    private static final double CHEAP_BASE_QUALITY = 0.78;

    /** The mean quality of the best version's answers to requests of difficulty 0, in [0, 1]. */
    private static final double BEST_BASE_QUALITY = 0.92;

    private static final double CHEAP_COST_PER_TOKEN = 1;
    private static final double BEST_COST_PER_TOKEN = 12;
    private static final double CHEAP_SECONDS_PER_TOKEN = 0.005;
    private static final double BEST_SECONDS_PER_TOKEN = 0.012;

    /** The standard deviation of quality, and of the difference between quality and confidence. */
    private static final double STANDARD_DEVIATION = 0.08;

    private static final VersionId CHEAP = VersionId.of("small", "v1");
    private static final VersionId BEST = VersionId.of("large", "v1");

    private enum Policy {
        ALWAYS_BEST,
        ALWAYS_CHEAP,
        /** The policy of the product, which learns from ratings. */
        LEARNT
    }

    /**
     * A kind of request in a mix.
     *
     * @param profile the requested profile
     * @param weight the share of the mix, in [0, 1]
     * @param tokens the number of tokens of an answer
     * @param difficulty the mean difficulty, in [0, 1]
     * @param quality the minimum mean quality, in [0, 1]
     * @param deadline the deadline; seconds
     */
    private record Kind(
            String profile,
            double weight,
            int tokens,
            double difficulty,
            double quality,
            double deadline) {

        Profile toProfile() {
            return new Profile(
                    ProfileId.of(profile),
                    List.of(CHEAP.model(), BEST.model()),
                    quality,
                    Duration.ofSeconds(1),
                    Duration.ofMillis((long) (deadline * 1000)),
                    true,
                    tokens);
        }
    }

    /**
     * A rating that has not arrived yet.
     *
     * @param dueIndex the index of the request before which it arrives
     * @param profile the profile of the rated request
     * @param version the version that answered
     * @param confidence the confidence of the model, in [0, 1]
     * @param rating the rating, in [0, 1]
     */
    private record Rating(
            int dueIndex, ProfileId profile, VersionId version, double confidence, double rating) {}

    private static final Kind[] ZVEZDNA = {
        new Kind("subject-line", 0.6, 16, 0.04, 0.6, 10),
        new Kind("member-digest", 0.28, 64, 0.16, 0.7, 20),
        new Kind("full-issue", 0.12, 200, 0.16, 0.8, 60),
    };
    private static final Kind[] COMPENSA = {
        new Kind("tag", 0.6, 16, 0.04, 0.6, 10),
        new Kind("explanation", 0.28, 64, 0.16, 0.7, 20),
        new Kind("netting-proposal", 0.12, 64, 0.16, 0.8, 30),
    };

    private CascadeMain() {}

    /**
     * Prints a row for each mix and policy.
     *
     * @param args none
     */
    public static void main(final String[] args) {
        System.out.println(
                "mix policy cost_vs_best mean_quality missed_deadlines seconds_mean mean_minus_minimum_by_profile");
        compare("zvezdna", ZVEZDNA);
        compare("compensa", COMPENSA);
    }

    private static void compare(final String name, final Kind[] mix) {
        final double bestCost = new Simulation(Policy.ALWAYS_BEST, mix).run();
        for (final Policy policy : Policy.values()) {
            final Simulation simulation = new Simulation(policy, mix);
            final double cost = simulation.run();
            System.out.printf(
                    "%s %s %.3f %.4f %.4f %.2f %s%n",
                    name,
                    policy,
                    cost / bestCost,
                    simulation.totalQuality / REQUEST_COUNT,
                    (double) simulation.missedDeadlines / REQUEST_COUNT,
                    simulation.totalSeconds / REQUEST_COUNT,
                    simulation.qualityMargins());
        }
    }

    private static final class Simulation {
        private final Policy policy;
        private final Kind[] mix;
        private final SplittableRandom random = new SplittableRandom(3);
        private final RatingTable ratingTable = RatingTable.empty();
        private final CascadePolicy learntPolicy = CascadePolicy.of(ratingTable);
        private final PriorityQueue<Rating> pendingRatings =
                new PriorityQueue<>((a, b) -> Integer.compare(a.dueIndex(), b.dueIndex()));
        private final Map<String, double[]> sumsByProfile = new java.util.TreeMap<>();
        private long missedDeadlines;
        private double totalQuality;
        private double totalSeconds;
        private double totalCost;

        Simulation(final Policy policy, final Kind[] mix) {
            this.policy = policy;
            this.mix = mix;
        }

        double run() {
            for (int i = 0; i < REQUEST_COUNT; i++) {
                while (!pendingRatings.isEmpty() && pendingRatings.peek().dueIndex() <= i) {
                    final Rating rating = pendingRatings.poll();
                    ratingTable.recordRating(
                            rating.profile(),
                            rating.version(),
                            rating.confidence(),
                            rating.rating());
                }
                simulateRequest(i, pickKind());
            }
            return totalCost;
        }

        private void simulateRequest(final int index, final Kind kind) {
            final Profile profile = kind.toProfile();
            final ProfileId profileId = profile.id();
            final double difficulty = kind.difficulty() * 2 * random.nextDouble();
            final double cheapQuality = randomQuality(CHEAP_BASE_QUALITY - difficulty);
            final double bestQuality = randomQuality(BEST_BASE_QUALITY - difficulty / 2);
            final double cheapConfidence =
                    clamp(cheapQuality + random.nextGaussian() * STANDARD_DEVIATION);
            final double bestConfidence =
                    clamp(bestQuality + random.nextGaussian() * STANDARD_DEVIATION);
            final boolean isRated = random.nextDouble() < RATED_SHARE;
            final double explorationPoint = random.nextDouble();
            final CascadePolicy.Option cheap =
                    new CascadePolicy.Option(
                            CHEAP,
                            kind.tokens() * CHEAP_COST_PER_TOKEN,
                            kind.tokens() * CHEAP_SECONDS_PER_TOKEN);
            final CascadePolicy.Option best =
                    new CascadePolicy.Option(
                            BEST,
                            kind.tokens() * BEST_COST_PER_TOKEN,
                            kind.tokens() * BEST_SECONDS_PER_TOKEN);
            final CascadePolicy.Plan plan =
                    switch (policy) {
                        case ALWAYS_BEST -> CascadePolicy.Plan.BEST;
                        case ALWAYS_CHEAP -> CascadePolicy.Plan.CHEAP;
                        default ->
                                learntPolicy.plan(
                                        profile, cheap, best, kind.deadline(), explorationPoint);
                    };
            boolean usesCheap = plan == CascadePolicy.Plan.CHEAP;
            double seconds = 0;
            if (plan != CascadePolicy.Plan.BEST) {
                totalCost += cheap.cost();
                seconds += cheap.seconds();
                recordAnswer(index, profileId, CHEAP, cheapConfidence, cheapQuality, isRated);
                usesCheap |=
                        plan == CascadePolicy.Plan.CASCADE
                                && learntPolicy.accepts(profile, CHEAP, BEST, cheapConfidence);
            }
            if (!usesCheap) {
                totalCost += best.cost();
                seconds += best.seconds();
                recordAnswer(index, profileId, BEST, bestConfidence, bestQuality, isRated);
            }
            final double quality = usesCheap ? cheapQuality : bestQuality;
            totalQuality += quality;
            totalSeconds += seconds;
            final double[] sums =
                    sumsByProfile.computeIfAbsent(
                            kind.profile(), k -> new double[] {0, 0, kind.quality()});
            sums[0] += quality;
            sums[1]++;
            missedDeadlines += seconds > kind.deadline() ? 1 : 0;
        }

        private void recordAnswer(
                final int index,
                final ProfileId profile,
                final VersionId version,
                final double confidence,
                final double quality,
                final boolean isRated) {
            ratingTable.recordAnswer(profile, version, confidence);
            if (isRated) {
                pendingRatings.add(
                        new Rating(
                                index + RATING_DELAY_REQUESTS,
                                profile,
                                version,
                                confidence,
                                quality));
            }
        }

        /** Returns the mean quality of each profile minus its minimum. */
        private String qualityMargins() {
            final StringBuilder text = new StringBuilder();
            sumsByProfile.forEach(
                    (profile, sums) ->
                            text.append(
                                    String.format(
                                            "%s=%+.3f ", profile, sums[0] / sums[1] - sums[2])));
            return text.toString().trim();
        }

        private Kind pickKind() {
            double point = random.nextDouble();
            for (final Kind kind : mix) {
                point -= kind.weight();
                if (point < 0) {
                    return kind;
                }
            }
            return mix[mix.length - 1];
        }

        private double randomQuality(final double mean) {
            return clamp(mean + random.nextGaussian() * STANDARD_DEVIATION);
        }

        private static double clamp(final double value) {
            return Math.max(0, Math.min(1, value));
        }
    }
}
