package org.fennelstage.rollout;

import java.util.Optional;

/**
 * Detects when a version that has completed its rollout degrades later.
 *
 * <p>{@link SequentialTest} accumulates all evidence, so a long good history would hide a recent
 * failure. This detector (a CUSUM test) resets the evidence against each worse rate whenever it
 * falls below one. While all rates are within tolerance, the mean time to a false alarm is at least
 * {@code signals / alpha} updates, however long the version has been in use. Not thread-safe.
 */
public final class DriftDetector {

    /** With one update per second, about one false alarm a year over all signals. */
    public static final double DEFAULT_ALPHA = 3e-8;

    private static final Signal[] SIGNALS = Signal.values();

    private final Tolerance tolerance;
    private final double threshold;
    private final double[][] logEvidence;
    private Evidence previous;

    private DriftDetector(final Tolerance tolerance, final double alpha, final Evidence baseline) {
        this.tolerance = tolerance;
        this.threshold = Math.log(SIGNALS.length / alpha);
        this.logEvidence = new double[SIGNALS.length][SequentialTest.alternativeCount()];
        this.previous = baseline;
    }

    /**
     * Returns a detector without evidence.
     *
     * @param tolerance the acceptable failure rates
     * @param alpha the accepted probability of a false alarm per update, in (0, 1)
     * @param baseline the running totals before the first update
     * @return the detector
     */
    public static DriftDetector of(
            final Tolerance tolerance, final double alpha, final Evidence baseline) {
        return new DriftDetector(tolerance, alpha, baseline);
    }

    /**
     * Adds the difference between the given running totals and the previous ones as evidence.
     *
     * @param totals the current running totals
     * @return a signal on which the version exceeds its tolerance, empty if none
     */
    public Optional<Signal> update(final Evidence totals) {
        Signal badSignal = null;
        for (final Signal signal : SIGNALS) {
            final long judged = Math.max(0, totals.judged(signal) - previous.judged(signal));
            final long bad =
                    Math.min(judged, Math.max(0, totals.bad(signal) - previous.bad(signal)));
            if (exceedsTolerance(signal, judged, bad)) {
                badSignal = signal;
            }
        }
        previous = totals;
        return Optional.ofNullable(badSignal);
    }

    private boolean exceedsTolerance(final Signal signal, final long judged, final long bad) {
        final double[] signalEvidence = logEvidence[signal.ordinal()];
        double sum = 0;
        for (int i = 0; i < signalEvidence.length; i++) {
            signalEvidence[i] =
                    Math.max(0, signalEvidence[i])
                            + SequentialTest.logRatio(judged, bad, tolerance.of(signal), i);
            sum += Math.exp(Math.min(signalEvidence[i], threshold + 1));
        }
        return Math.log(sum / signalEvidence.length) >= threshold;
    }
}
