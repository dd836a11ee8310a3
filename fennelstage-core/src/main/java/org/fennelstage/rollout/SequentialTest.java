package org.fennelstage.rollout;

/**
 * A sequential test of whether a failure rate exceeds a tolerated rate, valid after any number of
 * evaluations.
 *
 * <p>The evidence is an e-value: a mixture of the likelihood ratios of several worse rates against
 * the tolerated one. While the true rate is at most the tolerated one, it is a supermartingale with
 * mean at most 1, so by Ville's inequality the probability that it ever reaches {@code 1 / alpha}
 * is at most {@code alpha}, however often it is evaluated. It depends on the counts and not on
 * their order, so the counts of several VMs can be added before the test.
 *
 * <p>Stateless and thread-safe; allocates nothing.
 */
public final class SequentialTest {

    /**
     * Odds of the alternative rates in the mixture, as multiples of the tolerated odds; all have
     * the same weight. Small multiples detect a slightly worse version eventually, large ones a
     * broken version within a few requests.
     */
    private static final double[] ALTERNATIVE_ODDS = {1.25, 1.6, 2.2, 3.2, 5, 9, 20, 60, 400};

    /** The odds assumed for a good version, as a multiple of the tolerated odds. */
    private static final double GOOD_ODDS = 0.5;

    private SequentialTest() {}

    /**
     * Returns the logarithm of the evidence that the rate exceeds the tolerated one.
     *
     * @param judged the number of judged requests
     * @param bad how many of them were bad
     * @param tolerated the tolerated rate, in (0, 1)
     * @return the natural logarithm
     */
    public static double logEvidence(final long judged, final long bad, final double tolerated) {
        double largest = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < ALTERNATIVE_ODDS.length; i++) {
            largest = Math.max(largest, logRatio(judged, bad, tolerated, i));
        }
        double sum = 0;
        for (int i = 0; i < ALTERNATIVE_ODDS.length; i++) {
            sum += Math.exp(logRatio(judged, bad, tolerated, i) - largest);
        }
        return largest + Math.log(sum / ALTERNATIVE_ODDS.length);
    }

    /**
     * Returns whether the rate exceeds the tolerated one.
     *
     * @param judged the number of judged requests
     * @param bad how many of them were bad
     * @param tolerated the tolerated rate, in (0, 1)
     * @param alpha the accepted probability of a false positive over all evaluations, in (0, 1)
     * @return true if it does
     */
    public static boolean exceeds(
            final long judged, final long bad, final double tolerated, final double alpha) {
        return logEvidence(judged, bad, tolerated) >= -Math.log(alpha);
    }

    /**
     * Returns whether the rate is shown to be below an unacceptable one. While the true rate is at
     * least the unacceptable one, the probability of a false positive over all evaluations is at
     * most {@code beta}, by the same inequality.
     *
     * @param judged the number of judged requests
     * @param bad how many of them were bad
     * @param tolerated the tolerated rate, in (0, 1)
     * @param unacceptableOdds the unacceptable odds, as a multiple of the tolerated odds
     * @param beta the accepted probability of a false positive over all evaluations, in (0, 1)
     * @return true if it is
     */
    public static boolean isShownAcceptable(
            final long judged,
            final long bad,
            final double tolerated,
            final double unacceptableOdds,
            final double beta) {
        final double unacceptable = withOdds(tolerated, unacceptableOdds);
        final double good = withOdds(tolerated, GOOD_ODDS);
        return logRatio(judged, bad, unacceptable, good) >= -Math.log(beta);
    }

    /** Returns the number of alternative rates in the mixture. */
    static int alternativeCount() {
        return ALTERNATIVE_ODDS.length;
    }

    /** Returns the log likelihood ratio of an alternative rate against the tolerated rate. */
    static double logRatio(
            final long judged, final long bad, final double tolerated, final int index) {
        return logRatio(judged, bad, tolerated, withOdds(tolerated, ALTERNATIVE_ODDS[index]));
    }

    private static double logRatio(
            final long judged,
            final long bad,
            final double nullRate,
            final double alternativeRate) {
        return bad * Math.log(alternativeRate / nullRate)
                + (judged - bad) * Math.log((1 - alternativeRate) / (1 - nullRate));
    }

    private static double withOdds(final double rate, final double oddsFactor) {
        return oddsFactor * rate / (1 - rate + oddsFactor * rate);
    }
}
