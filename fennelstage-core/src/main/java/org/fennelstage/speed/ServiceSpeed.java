package org.fennelstage.speed;

import org.fennelstage.fleet.Pace;

/**
 * Decides how slow the backend servers of one service are against their median.
 *
 * <p>Invariant: a backend server counts as usual (0) within {@link #EQUAL_LOG} of the median, so
 * that equal servers are treated equally. Not thread-safe.
 */
final class ServiceSpeed {

    /**
     * Logarithm of the ratio up to which backend servers count as equally fast. The time per event
     * is not corrected for the batch size, which alone makes 26 in 100 between 1 and 48 running
     * requests (3.1 + 0.017 n ms).
     */
    static final double EQUAL_LOG = Math.log(1.25);

    /** Successive comparisons in which a difference must be seen: 2 s. */
    static final int MIN_COMPARISONS = 4;

    /** Successive comparisons that suffice for a ratio above {@link #LARGE_LOG}. */
    private static final int MIN_COMPARISONS_LARGE = 2;

    /** Logarithm of a ratio that chance hardly reaches twice in succession. */
    private static final double LARGE_LOG = Math.log(1.5);

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
     * @param weight the weight of the sample, at most 1
     */
    void onSample(final double logRatio, final double logSlowness, final double weight) {
        final double deviation = logRatio - median - logSlowness;
        variance += weight * VARIANCE_WEIGHT * (deviation * deviation - variance);
    }

    void onMedian(final double newMedian) {
        median = newMedian;
    }

    /**
     * Returns how slow a backend server is.
     *
     * <p>A difference counts once it is seen in several successive comparisons, and then lasts
     * until it falls below {@link #EQUAL_LOG}: a slow server gets fewer requests, so its evidence
     * thins out.
     *
     * @param pace the samples of all VMs
     * @param persistence the earlier comparisons of the same server
     * @param previousLogSlowness the result of the previous comparison
     * @return the logarithm of the slowness, 0 if usual
     */
    double logSlowness(
            final Pace pace, final Persistence persistence, final double previousLogSlowness) {
        final double weight = pace.samples();
        final double log = (pace.logSum() - weight * median) / (weight + PRIOR_SAMPLES);
        final boolean known = previousLogSlowness * log > 0;
        if (Math.abs(log) <= (known ? EQUAL_LOG : Math.max(EQUAL_LOG, error(weight)))) {
            persistence.reset();
            return 0;
        }
        final int comparisons = persistence.next(log, LARGE_LOG);
        if (!known
                && comparisons < MIN_COMPARISONS
                && persistence.large() < MIN_COMPARISONS_LARGE) {
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
