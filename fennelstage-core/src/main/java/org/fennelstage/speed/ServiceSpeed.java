package org.fennelstage.speed;

import org.fennelstage.fleet.Pace;

/**
 * Decides how slow the backend servers of one service are against their median.
 *
 * <p>Invariant: a backend server counts as usual (0) within {@link #EQUAL_LOG} of the median, so
 * that equal servers are treated equally. Not thread-safe.
 */
final class ServiceSpeed {

    /** Logarithm of the ratio up to which backend servers count as equally fast: 15 in 100. */
    static final double EQUAL_LOG = Math.log(1.15);

    /** Logarithm of the largest slowness; the smallest is its inverse. */
    static final double MAX_LOG = Math.log(4);

    /** Samples of usual speed that are assumed of each backend server, so that one shows little. */
    private static final double PRIOR_SAMPLES = 2;

    /** Standard errors that a difference must exceed; 1 in 20 equal servers exceeds two. */
    private static final double STANDARD_ERRORS = 2;

    /**
     * Variance of the samples before any is known: streams of equal servers differ by some 30 in
     * 100.
     */
    private static final double INITIAL_VARIANCE = 0.09;

    /** Weight of a new sample in the variance; about the last fifty samples count. */
    private static final double VARIANCE_WEIGHT = 0.02;

    private double median;
    private double variance = INITIAL_VARIANCE;

    /**
     * Adds a sample of this VM to the variance of samples of one backend server.
     *
     * @param logRatio logarithm of its time over the usual time
     * @param logSlowness as last returned by {@link #logSlowness} for its server
     */
    void onSample(final double logRatio, final double logSlowness) {
        final double deviation = logRatio - median - logSlowness;
        variance += VARIANCE_WEIGHT * (deviation * deviation - variance);
    }

    void onMedian(final double newMedian) {
        median = newMedian;
    }

    /**
     * Returns how slow a backend server is.
     *
     * <p>A difference that was found once lasts until it falls below {@link #EQUAL_LOG}: a slow
     * server gets fewer requests, so its evidence thins out.
     *
     * @param pace the samples of all VMs
     * @param before the result before
     * @return the logarithm of the slowness, 0 if usual
     */
    double logSlowness(final Pace pace, final double before) {
        final double weight = pace.samples();
        final double log = (pace.logSum() - weight * median) / (weight + PRIOR_SAMPLES);
        final boolean known = before * log > 0;
        if (Math.abs(log) <= (known ? EQUAL_LOG : Math.max(EQUAL_LOG, error(weight)))) {
            return 0;
        }
        return Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
    }

    /**
     * Returns the largest error that is to be expected. Samples that decay exponentially count as
     * twice their weight.
     */
    private double error(final double weight) {
        return STANDARD_ERRORS * Math.sqrt(variance / Math.max(1, 2 * weight));
    }

    @Override
    public String toString() {
        return "ServiceSpeed[median=" + median + ", variance=" + variance + "]";
    }
}
