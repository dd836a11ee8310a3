package org.fennelstage.rollout;

import java.util.Optional;

/**
 * Watches a version that has passed its roll-out and finds when it turns bad.
 *
 * <p>The test of a roll-out adds up all evidence, so a month of good answers would hide a bad hour.
 * Here the evidence against each worse rate starts anew whenever it falls below one: for a rate
 * within tolerance the mean time to a false alarm is at least {@code signals / alpha} updates,
 * however long the version has served. Not thread-safe.
 */
public final class DriftDetector {

    /** One false alarm a year of updates once a second, over all signals. */
    public static final double DEFAULT_ALPHA = 3e-8;

    private static final Signal[] SIGNALS = Signal.values();

    private final Tolerance tolerance;
    private final double threshold;
    private final double[][] logs;
    private Evidence last;

    private DriftDetector(final Tolerance tolerance, final double alpha, final Evidence baseline) {
        this.tolerance = tolerance;
        this.threshold = Math.log(SIGNALS.length / alpha);
        this.logs = new double[SIGNALS.length][SequentialTest.odds()];
        this.last = baseline;
    }

    /**
     * Returns a detector that has seen nothing yet.
     *
     * @param tolerance what is acceptable
     * @param alpha the accepted chance of a false alarm per update
     * @param baseline the running totals before the watch begins
     * @return the detector
     */
    public static DriftDetector of(
            final Tolerance tolerance, final double alpha, final Evidence baseline) {
        return new DriftDetector(tolerance, alpha, baseline);
    }

    /**
     * Takes the running totals of now.
     *
     * @param totals the totals
     * @return the signal on which the version has turned bad, empty if none
     */
    public Optional<Signal> update(final Evidence totals) {
        Signal found = null;
        for (final Signal signal : SIGNALS) {
            final long judged = Math.max(0, totals.judged(signal) - last.judged(signal));
            final long bad = Math.min(judged, Math.max(0, totals.bad(signal) - last.bad(signal)));
            if (isBad(signal, judged, bad)) {
                found = signal;
            }
        }
        last = totals;
        return Optional.ofNullable(found);
    }

    private boolean isBad(final Signal signal, final long judged, final long bad) {
        final double[] log = logs[signal.ordinal()];
        double sum = 0;
        for (int i = 0; i < log.length; i++) {
            log[i] =
                    Math.max(0, log[i])
                            + SequentialTest.logRatio(judged, bad, tolerance.of(signal), i);
            sum += Math.exp(Math.min(log[i], threshold + 1));
        }
        return Math.log(sum / log.length) >= threshold;
    }
}
