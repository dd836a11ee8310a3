package org.fennelstage.fleet;

/**
 * How long recent requests took at one incarnation of a backend server, against what is usual for
 * its service, weighted by their age.
 *
 * <p>The logarithms of the ratios are summed, so that a request that took twice as long and one
 * that took half as long as usual cancel out.
 *
 * <p>Laws: {@code plus} is associative and commutative with the neutral element {@link #NONE}; of
 * two incarnations only the pace of the later one counts. Immutable and thread-safe.
 *
 * @param startMillis the start time of the incarnation, as in {@link Incarnation}
 * @param samples the weight of the samples
 * @param logSum the sum of the natural logarithms of the observed over the usual times, each times
 *     the weight of its sample
 */
public record Pace(long startMillis, double samples, double logSum) {

    /** No samples. */
    public static final Pace NONE = new Pace(0, 0, 0);

    /**
     * Weight of the samples that one VM reports of one backend server at most, so that a VM that is
     * slow itself does not make a server slow for all.
     */
    static final double MAX_REPORTED_SAMPLES = 4;

    /**
     * Half-life of the samples; milliseconds. With a longer one a server that recovers is still
     * treated as slow after five seconds; with a shorter one too few samples count at two a second.
     */
    public static final long HALF_LIFE_MILLIS = 2_000;

    private static final double UNITS_PER_SAMPLE = 100;

    /**
     * Returns a pace as it is sent between VMs.
     *
     * @param startMillis the start time of the incarnation
     * @param sampleUnits the weight of the samples in hundredths
     * @param logUnits the sum of the logarithms in hundredths
     * @return the pace
     */
    public static Pace ofUnits(
            final long startMillis, final long sampleUnits, final long logUnits) {
        return new Pace(startMillis, sampleUnits / UNITS_PER_SAMPLE, logUnits / UNITS_PER_SAMPLE);
    }

    /**
     * Returns the weight of the samples as it is sent between VMs.
     *
     * @return hundredths of a sample
     */
    public long sampleUnits() {
        return Math.round(samples * UNITS_PER_SAMPLE);
    }

    /**
     * Returns the sum of the logarithms as it is sent between VMs.
     *
     * @return hundredths
     */
    public long logUnits() {
        return Math.round(logSum * UNITS_PER_SAMPLE);
    }

    /**
     * Returns the sum of two paces.
     *
     * @param other another pace of the same backend server
     * @return the sum, or the pace of the later incarnation
     */
    public Pace plus(final Pace other) {
        if (startMillis != other.startMillis) {
            return startMillis > other.startMillis ? this : other;
        }
        return new Pace(startMillis, samples + other.samples, logSum + other.logSum);
    }

    /**
     * Returns this pace without a part of it.
     *
     * @param part a pace of the same backend server; that of another incarnation is no part
     * @return the rest, {@link #NONE} if nothing is left
     */
    public Pace minus(final Pace part) {
        if (startMillis != part.startMillis) {
            return this;
        }
        final double rest = samples - part.samples;
        return rest <= 0 ? NONE : new Pace(startMillis, rest, logSum - part.logSum);
    }

    /**
     * Returns this pace with another weight.
     *
     * @param factor the factor on its weight
     * @return the pace
     */
    public Pace times(final double factor) {
        return new Pace(startMillis, samples * factor, logSum * factor);
    }

    /**
     * Returns what is left of this pace after a time.
     *
     * @param millis the time; milliseconds
     * @return the pace, with half of its weight after the half-life
     */
    public Pace decayed(final long millis) {
        return millis <= 0 || samples == 0
                ? this
                : times(Math.pow(0.5, millis / (double) HALF_LIFE_MILLIS));
    }

    /**
     * Returns this pace in the precision in which it is sent between VMs.
     *
     * @return the pace, {@link #NONE} if nothing is left
     */
    public Pace rounded() {
        return sampleUnits() == 0 ? NONE : ofUnits(startMillis, sampleUnits(), logUnits());
    }

    /**
     * Returns this pace with a limited weight.
     *
     * @param max the largest weight of the samples, above 0
     * @return the pace, with the same mean
     */
    public Pace withSamplesAtMost(final double max) {
        return samples <= max ? this : times(max / samples);
    }
}
