package org.fennelstage.speed;

import java.util.OptionalDouble;

/**
 * The usual time of one kind of request at this VM, over all backend servers, as a moving average
 * of the logarithm.
 *
 * <p>Ratios to it are free of how slow the VM itself is. Not thread-safe.
 */
final class UsualTime {

    /** Weight of a new sample; about the last twenty samples count. */
    private static final double WEIGHT = 0.05;

    /** Samples after which the average is usable; the first ones depend on the servers chosen. */
    private static final int MIN_SAMPLES = 5;

    private int samples;
    private double meanLog;

    /**
     * Adds a sample.
     *
     * @param millis the time, above zero; milliseconds
     * @return the natural logarithm of the time over the usual time before; empty while that is
     *     unknown
     */
    OptionalDouble onSample(final double millis) {
        final double log = Math.log(millis);
        final double excess = log - meanLog;
        samples++;
        meanLog += Math.max(WEIGHT, 1.0 / samples) * excess;
        return samples <= MIN_SAMPLES ? OptionalDouble.empty() : OptionalDouble.of(excess);
    }

    @Override
    public String toString() {
        return "UsualTime[" + Math.exp(meanLog) + " ms, samples=" + samples + "]";
    }
}
