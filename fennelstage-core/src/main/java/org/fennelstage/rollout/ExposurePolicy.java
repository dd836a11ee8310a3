package org.fennelstage.rollout;

import java.util.Optional;

/**
 * How many requests a candidate may get before more is known of it, and when its steps pass.
 *
 * <p>Invariant: {@link #allowed} never falls as evidence grows. The number is for the whole fleet
 * and does not depend on the number of VMs. Immutable and thread-safe.
 *
 * @param initial requests before the first judgement
 * @param growth further requests per judged one
 * @param perStep judged requests that a step must see before the next
 * @param alpha the accepted chance of halting a good candidate
 */
public record ExposurePolicy(int initial, double growth, int perStep, double alpha) {

    /** Found by the exposure experiment in docs/measurements. */
    public static final ExposurePolicy DEFAULT = new ExposurePolicy(20, 2, 60, 0.01);

    private static final int SIGNALS = Signal.values().length;

    /**
     * A step passes once the rate of each signal is shown to lie below this many times its odds.
     */
    private static final double UNACCEPTABLE_ODDS = 3;

    /** The accepted chance that an unacceptable candidate passes, per signal. */
    private static final double BETA = 0.02;

    /**
     * Returns how many requests the candidate may have got in all.
     *
     * @param evidence what is known
     * @param ratedShare the share of answers that the rating service rates, in [0, 1]; 0 if there
     *     is no rating service
     * @return the bound
     */
    public long allowed(final Evidence evidence, final double ratedShare) {
        return initial + (long) Math.floor(growth * judged(evidence, ratedShare));
    }

    /**
     * Judges a candidate.
     *
     * @param evidence what is known
     * @param tolerance what is acceptable
     * @param step the present step, from 0
     * @param ratedShare the share of answers that the rating service rates, in [0, 1]; 0 if there
     *     is no rating service
     * @return the verdict
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
        final long needed = (long) perStep * (step + 1);
        final boolean seenEnough = judged(evidence, ratedShare) >= needed;
        return new Verdict(
                Optional.empty(), seenEnough && isShownGood(evidence, tolerance, ratedShare));
    }

    /**
     * Not having been found bad is not enough to pass: with a few ratings only, a version whose
     * answers are poor one time in four would pass in most runs.
     */
    private static boolean isShownGood(
            final Evidence evidence, final Tolerance tolerance, final double ratedShare) {
        for (final Signal signal : Signal.values()) {
            final boolean isNeeded =
                    signal == Signal.ERROR
                            || (signal == Signal.POOR_RATING && ratedShare > 0)
                            || evidence.judged(signal) > 0;
            final boolean isShown =
                    SequentialTest.isShownAcceptable(
                            evidence.judged(signal),
                            evidence.bad(signal),
                            tolerance.of(signal),
                            UNACCEPTABLE_ODDS,
                            BETA);
            if (isNeeded && !isShown) {
                return false;
            }
        }
        return true;
    }

    /**
     * The slower kind of judgement counts: a candidate whose answers are not rated, because the
     * rating service is down, gets no further requests.
     */
    private static double judged(final Evidence evidence, final double ratedShare) {
        if (ratedShare <= 0) {
            return evidence.judged(Signal.ERROR);
        }
        final double rated = evidence.judged(Signal.POOR_RATING) / ratedShare;
        return Math.min(evidence.judged(Signal.ERROR), rated);
    }
}
