package org.fennelstage.rollout;

import java.util.Optional;

/**
 * Limits the requests sent to the new version of a rollout by the evidence on it, and decides when
 * a step passes or the rollout halts.
 *
 * <p>Invariant: {@link #allowed} never decreases as evidence grows. It is a limit for the whole
 * fleet, independent of the number of VMs. Immutable and thread-safe.
 *
 * @param initial the number of requests allowed before the first is judged
 * @param growth the number of further requests allowed per judged request
 * @param judgedPerStep the number of judged requests needed per step
 * @param alpha the accepted probability of halting a good version, in (0, 1)
 */
public record ExposurePolicy(int initial, double growth, int judgedPerStep, double alpha) {

    public static final ExposurePolicy DEFAULT = new ExposurePolicy(20, 2, 60, 0.01);

    private static final int SIGNALS = Signal.values().length;

    /**
     * A step passes once the odds of each signal are shown to be below this multiple of the
     * tolerated odds.
     */
    private static final double UNACCEPTABLE_ODDS = 3;

    /** The accepted probability that an unacceptable version passes, per signal. */
    private static final double BETA = 0.02;

    /**
     * Returns the total number of requests that may be sent to the new version.
     *
     * @param evidence the evidence on the new version
     * @param ratedShare the fraction of answers that the rating service rates, in [0, 1]; 0 if
     *     there is no rating service
     * @return the limit on the number of requests
     */
    public long allowed(final Evidence evidence, final double ratedShare) {
        return initial + (long) Math.floor(growth * fullyJudged(evidence, ratedShare));
    }

    /**
     * Decides whether the rollout halts or its current step passes.
     *
     * @param evidence the evidence on the new version
     * @param tolerance the acceptable failure rates
     * @param step the index of the current step, from 0
     * @param ratedShare the fraction of answers that the rating service rates, in [0, 1]; 0 if
     *     there is no rating service
     * @return the decision
     */
    public Verdict evaluate(
            final Evidence evidence,
            final Tolerance tolerance,
            final int step,
            final double ratedShare) {
        for (final Signal signal : Signal.values()) {
            final boolean exceeds =
                    SequentialTest.exceeds(
                            evidence.judged(signal),
                            evidence.bad(signal),
                            tolerance.of(signal),
                            alpha / SIGNALS);
            if (exceeds) {
                return new Verdict(Optional.of(signal), false);
            }
        }
        final long needed = (long) judgedPerStep * (step + 1);
        final boolean hasEnoughEvidence = fullyJudged(evidence, ratedShare) >= needed;
        return new Verdict(
                Optional.empty(),
                hasEnoughEvidence && isShownAcceptable(evidence, tolerance, ratedShare));
    }

    /**
     * Requires positive evidence. The mere absence of evidence against a version would let a poor
     * version pass while few of its answers have been rated.
     */
    private static boolean isShownAcceptable(
            final Evidence evidence, final Tolerance tolerance, final double ratedShare) {
        for (final Signal signal : Signal.values()) {
            final boolean isRequired =
                    signal == Signal.ERROR
                            || (signal == Signal.POOR_RATING && ratedShare > 0)
                            || evidence.judged(signal) > 0;
            final boolean isAcceptable =
                    SequentialTest.isShownAcceptable(
                            evidence.judged(signal),
                            evidence.bad(signal),
                            tolerance.of(signal),
                            UNACCEPTABLE_ODDS,
                            BETA);
            if (isRequired && !isAcceptable) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the number of fully judged requests, limited by the slower of errors and ratings, so
     * that the new version gets no further requests while the rating service is unavailable.
     */
    private static double fullyJudged(final Evidence evidence, final double ratedShare) {
        if (ratedShare <= 0) {
            return evidence.judged(Signal.ERROR);
        }
        final double rated = evidence.judged(Signal.POOR_RATING) / ratedShare;
        return Math.min(evidence.judged(Signal.ERROR), rated);
    }
}
