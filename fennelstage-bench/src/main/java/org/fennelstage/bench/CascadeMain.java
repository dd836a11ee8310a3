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
 * Measures cost, quality and missed deadlines of cascade policies on both users' mixes: always the
 * best version, always the cheap one, and the learnt policy of the product. Ratings come for a
 * sample and late; the engine's confidence is its quality with noise.
 */
public final class CascadeMain {

    private static final int REQUESTS = 40_000;
    private static final double RATED_SHARE = 0.2;
    private static final int RATING_DELAY = 200;
    private static final double CHEAP_SKILL = 0.78;
    private static final double BEST_SKILL = 0.92;
    private static final double CHEAP_COST = 1;
    private static final double BEST_COST = 12;
    private static final double CHEAP_SECONDS_PER_TOKEN = 0.005;
    private static final double BEST_SECONDS_PER_TOKEN = 0.012;
    private static final double NOISE = 0.08;
    private static final VersionId CHEAP = VersionId.of("small", "v1");
    private static final VersionId BEST = VersionId.of("large", "v1");

    private enum Policy {
        ALWAYS_BEST,
        ALWAYS_CHEAP,
        LEARNT
    }

    /** Profile, share of the mix, tokens, mean difficulty, least quality, deadline in seconds. */
    private record Kind(
            String profile,
            double weight,
            int tokens,
            double difficulty,
            double quality,
            double deadline) {

        Profile promise() {
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

    private record Rating(
            int due, ProfileId profile, VersionId version, double confidence, double rating) {}

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
     * Prints the table.
     *
     * @param args none
     */
    public static void main(final String[] args) {
        System.out.println(
                "mix policy cost_vs_best mean_quality missed_deadlines seconds_mean mean_minus_promise_by_profile");
        run("zvezdna", ZVEZDNA);
        run("compensa", COMPENSA);
    }

    private static void run(final String name, final Kind[] mix) {
        final double best = new Trial(Policy.ALWAYS_BEST, mix).play();
        for (final Policy policy : Policy.values()) {
            final Trial trial = new Trial(policy, mix);
            final double cost = trial.play();
            System.out.printf(
                    "%s %s %.3f %.4f %.4f %.2f %s%n",
                    name,
                    policy,
                    cost / best,
                    trial.quality / REQUESTS,
                    (double) trial.missed / REQUESTS,
                    trial.seconds / REQUESTS,
                    trial.margins());
        }
    }

    private static final class Trial {
        private final Policy policy;
        private final Kind[] mix;
        private final SplittableRandom random = new SplittableRandom(3);
        private final RatingTable table = RatingTable.empty();
        private final CascadePolicy cascade = CascadePolicy.of(table);
        private final PriorityQueue<Rating> ratings =
                new PriorityQueue<>((a, b) -> Integer.compare(a.due(), b.due()));
        private final Map<String, double[]> byKind = new java.util.TreeMap<>();
        private long missed;
        private double quality;
        private double seconds;
        private double cost;

        Trial(final Policy policy, final Kind[] mix) {
            this.policy = policy;
            this.mix = mix;
        }

        double play() {
            for (int i = 0; i < REQUESTS; i++) {
                while (!ratings.isEmpty() && ratings.peek().due() <= i) {
                    final Rating rating = ratings.poll();
                    table.recordRating(
                            rating.profile(),
                            rating.version(),
                            rating.confidence(),
                            rating.rating());
                }
                request(i, pick());
            }
            return cost;
        }

        private void request(final int index, final Kind kind) {
            final Profile promise = kind.promise();
            final ProfileId profile = promise.id();
            final double difficulty = kind.difficulty() * 2 * random.nextDouble();
            final double cheapQuality = answer(CHEAP_SKILL - difficulty);
            final double bestQuality = answer(BEST_SKILL - difficulty / 2);
            final double cheapConfidence = clamp(cheapQuality + random.nextGaussian() * NOISE);
            final double bestConfidence = clamp(bestQuality + random.nextGaussian() * NOISE);
            final boolean isRated = random.nextDouble() < RATED_SHARE;
            final double point = random.nextDouble();
            final CascadePolicy.Option cheap =
                    new CascadePolicy.Option(
                            CHEAP,
                            kind.tokens() * CHEAP_COST,
                            kind.tokens() * CHEAP_SECONDS_PER_TOKEN);
            final CascadePolicy.Option best =
                    new CascadePolicy.Option(
                            BEST,
                            kind.tokens() * BEST_COST,
                            kind.tokens() * BEST_SECONDS_PER_TOKEN);
            final CascadePolicy.Plan plan =
                    switch (policy) {
                        case ALWAYS_BEST -> CascadePolicy.Plan.BEST;
                        case ALWAYS_CHEAP -> CascadePolicy.Plan.CHEAP;
                        default -> cascade.plan(promise, cheap, best, kind.deadline(), point);
                    };
            boolean usesCheap = plan == CascadePolicy.Plan.CHEAP;
            double time = 0;
            if (plan != CascadePolicy.Plan.BEST) {
                cost += cheap.cost();
                time += cheap.seconds();
                note(index, profile, CHEAP, cheapConfidence, cheapQuality, isRated);
                usesCheap |=
                        plan == CascadePolicy.Plan.CASCADE
                                && cascade.accepts(promise, CHEAP, BEST, cheapConfidence);
            }
            if (!usesCheap) {
                cost += best.cost();
                time += best.seconds();
                note(index, profile, BEST, bestConfidence, bestQuality, isRated);
            }
            final double got = usesCheap ? cheapQuality : bestQuality;
            quality += got;
            seconds += time;
            final double[] sums =
                    byKind.computeIfAbsent(
                            kind.profile(), k -> new double[] {0, 0, kind.quality()});
            sums[0] += got;
            sums[1]++;
            missed += time > kind.deadline() ? 1 : 0;
        }

        private void note(
                final int index,
                final ProfileId profile,
                final VersionId version,
                final double confidence,
                final double got,
                final boolean isRated) {
            table.recordAnswer(profile, version, confidence);
            if (isRated) {
                ratings.add(new Rating(index + RATING_DELAY, profile, version, confidence, got));
            }
        }

        /** The mean rating of each profile less its promise. */
        private String margins() {
            final StringBuilder text = new StringBuilder();
            byKind.forEach(
                    (profile, sums) ->
                            text.append(
                                    String.format(
                                            "%s=%+.3f ", profile, sums[0] / sums[1] - sums[2])));
            return text.toString().trim();
        }

        private Kind pick() {
            double point = random.nextDouble();
            for (final Kind kind : mix) {
                point -= kind.weight();
                if (point < 0) {
                    return kind;
                }
            }
            return mix[mix.length - 1];
        }

        private double answer(final double mean) {
            return clamp(mean + random.nextGaussian() * NOISE);
        }

        private static double clamp(final double value) {
            return Math.max(0, Math.min(1, value));
        }
    }
}
