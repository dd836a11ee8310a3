package org.fennelstage.canary;

import java.util.OptionalDouble;

/**
 * The usual time of one kind of response at the current version, and the time from which a response
 * is slow.
 *
 * <p>A response is slow if it takes {@link #SLOW_FACTOR} times as long as usual and longer than
 * nearly all others: times that vary much by themselves say less about a version. Invariant: one
 * sample moves the estimate at most as far as a response at the limit. Not thread-safe.
 */
final class UsualTime {

    /** Slowdown that matters to callers. */
    private static final double SLOW_FACTOR = 3;

    /** Smallest delay that counts; milliseconds. Less is within the precision of timers. */
    private static final double MIN_DELAY_MILLIS = 5;

    /** Standard deviations of the logarithm above the mean that nearly all responses stay below. */
    private static final double DEVIATIONS = 2.3;

    /** Least slowdown of all responses that matters to callers. */
    private static final double MEAN_FACTOR = 1.5;

    /** Smallest standard deviation of the logarithm that is assumed. */
    private static final double MIN_DEVIATION = 0.4;

    /** Most that one response says about the mean; a log likelihood ratio. */
    private static final double MAX_MEAN_EVIDENCE = 1.2;

    /** Weight of a sample; about the last fifty count. */
    private static final double WEIGHT = 0.02;

    private static final int MIN_SAMPLES = 10;

    /** Shortest time; milliseconds. Events that arrive together have no time between them. */
    private static final double MIN_MILLIS = 0.5;

    private int samples;
    private double logMean;
    private double logVariance;

    /**
     * Returns the time from which a response is slow.
     *
     * @return the time; milliseconds; empty until there are enough samples
     */
    OptionalDouble limitMillis() {
        return samples < MIN_SAMPLES ? OptionalDouble.empty() : OptionalDouble.of(limit());
    }

    private double limit() {
        final double distance = Math.max(Math.log(SLOW_FACTOR), DEVIATIONS * deviation());
        return Math.max(Math.exp(logMean + distance), Math.exp(logMean) + MIN_DELAY_MILLIS);
    }

    /**
     * Returns by how much a time differs from the usual one.
     *
     * @param millis the time; milliseconds
     * @return the difference of logarithms, above 0 if it is longer
     */
    double difference(final double millis) {
        return Math.log((millis + MIN_DELAY_MILLIS) / (Math.exp(logMean) + MIN_DELAY_MILLIS));
    }

    /**
     * Returns what a time says about the mean of a version.
     *
     * @param difference its difference from the usual one
     * @return the log likelihood ratio of a version that is slower by {@link #MEAN_FACTOR} and one
     *     that is not
     */
    double meanEvidence(final double difference) {
        final double shift = Math.log(MEAN_FACTOR);
        final double deviation = Math.max(MIN_DEVIATION, deviation());
        final double ratio = shift / (deviation * deviation) * (difference - shift / 2);
        return Math.max(-MAX_MEAN_EVIDENCE, Math.min(MAX_MEAN_EVIDENCE, ratio));
    }

    private double deviation() {
        return Math.sqrt(logVariance);
    }

    /** Adds a time; milliseconds. */
    void add(final double millis) {
        final double counted = samples < MIN_SAMPLES ? millis : Math.min(millis, limit());
        samples++;
        final double weight = Math.max(1.0 / samples, WEIGHT);
        final double difference = Math.log(Math.max(MIN_MILLIS, counted)) - logMean;
        logMean += weight * difference;
        logVariance = (1 - weight) * (logVariance + weight * difference * difference);
    }
}
