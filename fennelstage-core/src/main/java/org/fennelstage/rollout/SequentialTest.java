package org.fennelstage.rollout;

/**
 * Tests whether a failure rate exceeds what is tolerated, valid at every look.
 *
 * <p>The evidence value is a mixture of likelihood ratios of a worse rate against the tolerated
 * one. While the true rate is at most the tolerated one it is a supermartingale with mean at most
 * 1, so by Ville's inequality the chance that it ever reaches {@code 1 / alpha} is at most {@code
 * alpha}, no matter how often or when one looks. It depends on the counts alone and not on their
 * order, so counts from many VMs can be added before the test.
 *
 * <p>Stateless and thread-safe; allocates nothing.
 */
public final class SequentialTest {

    /**
     * Odds multipliers of the worse rates in the mixture, each with equal weight: near ones find a
     * slightly worse version in the end, far ones a plainly bad one at once.
     */
    private static final double[] ODDS = {1.25, 1.6, 2.2, 3.2, 5, 9, 20, 60, 400};

    /** The rate that a good version is thought to have, as odds against the tolerated one. */
    private static final double GOOD_ODDS = 0.5;

    private SequentialTest() {}

    /**
     * Returns the logarithm of the evidence value against "the rate is at most tolerated".
     *
     * @param judged the number of judged requests
     * @param bad how many of them were bad
     * @param tolerated the tolerated rate, in (0, 1)
     * @return the natural logarithm
     */
    public static double logEvidence(final long judged, final long bad, final double tolerated) {
        double largest = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < ODDS.length; i++) {
            largest = Math.max(largest, logRatio(judged, bad, tolerated, i));
        }
        double sum = 0;
        for (int i = 0; i < ODDS.length; i++) {
            sum += Math.exp(logRatio(judged, bad, tolerated, i) - largest);
        }
        return largest + Math.log(sum / ODDS.length);
    }

    /**
     * Tells whether the rate exceeds the tolerated one.
     *
     * @param judged the number of judged requests
     * @param bad how many of them were bad
     * @param tolerated the tolerated rate, in (0, 1)
     * @param alpha the accepted chance of a wrong yes over all looks, in (0, 1)
     * @return true if it does
     */
    public static boolean exceeds(
            final long judged, final long bad, final double tolerated, final double alpha) {
        return logEvidence(judged, bad, tolerated) >= -Math.log(alpha);
    }

    /**
     * Tells whether the rate is shown to lie below an unacceptable one. While the true rate is at
     * least that, the chance of a wrong yes over all looks is at most {@code beta}, by the same
     * inequality.
     *
     * @param judged the number of judged requests
     * @param bad how many of them were bad
     * @param tolerated the tolerated rate, in (0, 1)
     * @param unacceptableOdds how many times the odds of the tolerated rate are unacceptable
     * @param beta the accepted chance of a wrong yes over all looks, in (0, 1)
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

    /** Returns how many worse rates are in the mixture. */
    static int odds() {
        return ODDS.length;
    }

    /** Returns the logarithm of the likelihood ratio of one worse rate against the tolerated. */
    static double logRatio(
            final long judged, final long bad, final double tolerated, final int index) {
        return logRatio(judged, bad, tolerated, withOdds(tolerated, ODDS[index]));
    }

    private static double logRatio(
            final long judged, final long bad, final double against, final double instead) {
        return bad * Math.log(instead / against)
                + (judged - bad) * Math.log((1 - instead) / (1 - against));
    }

    private static double withOdds(final double rate, final double times) {
        return times * rate / (1 - rate + times * rate);
    }
}
