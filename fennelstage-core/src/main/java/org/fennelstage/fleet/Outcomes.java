package org.fennelstage.fleet;

/**
 * Recent responses of one incarnation of a backend server, weighted by their age, and how many of
 * them failed beyond the baseline rates of their routes.
 *
 * <p>Laws: {@code plus} is associative and commutative with the neutral element {@link #NONE}; of
 * two incarnations only the outcomes of the later one count. Immutable and thread-safe.
 *
 * @param startMillis the start time of the incarnation, as in {@link Incarnation}
 * @param responses the weight of the responses
 * @param excess the weight of the failed responses, less the weight that was to be expected
 */
public record Outcomes(long startMillis, double responses, double excess) {

    /** No responses. */
    public static final Outcomes NONE = new Outcomes(0, 0, 0);

    private static final double UNITS_PER_RESPONSE = 100;

    /**
     * Returns the outcome of one response.
     *
     * @param failed whether it failed
     * @param baselineRate the route's baseline failure rate, in [0, 1]
     * @return the outcome, of an incarnation that does not report its start time
     */
    public static Outcomes of(final boolean failed, final double baselineRate) {
        return new Outcomes(0, 1, (failed ? 1 : 0) - baselineRate);
    }

    /**
     * Returns outcomes as they are sent between VMs.
     *
     * @param startMillis the start time of the incarnation
     * @param responseUnits the weight of the responses in hundredths
     * @param excessUnits the weight of the excess failures in hundredths
     * @return the outcomes
     */
    public static Outcomes ofUnits(
            final long startMillis, final long responseUnits, final long excessUnits) {
        return new Outcomes(
                startMillis, responseUnits / UNITS_PER_RESPONSE, excessUnits / UNITS_PER_RESPONSE);
    }

    /**
     * Returns the weight of the responses as it is sent between VMs.
     *
     * @return hundredths of a response
     */
    public long responseUnits() {
        return Math.round(responses * UNITS_PER_RESPONSE);
    }

    /**
     * Returns the weight of the excess failures as it is sent between VMs.
     *
     * @return hundredths of a response
     */
    public long excessUnits() {
        return Math.round(excess * UNITS_PER_RESPONSE);
    }

    /**
     * Returns these outcomes as those of an incarnation.
     *
     * @param incarnationStartMillis the start time of the incarnation
     * @return the outcomes
     */
    Outcomes from(final long incarnationStartMillis) {
        return new Outcomes(incarnationStartMillis, responses, excess);
    }

    /**
     * Returns the sum of two outcomes.
     *
     * @param other other outcomes of the same backend server
     * @return the sum, or the outcomes of the later incarnation
     */
    public Outcomes plus(final Outcomes other) {
        if (startMillis != other.startMillis) {
            return startMillis > other.startMillis ? this : other;
        }
        return new Outcomes(startMillis, responses + other.responses, excess + other.excess);
    }

    /**
     * Returns these outcomes without a part of them.
     *
     * @param part outcomes of the same backend server; those of another incarnation are no part
     * @return the rest, {@link #NONE} if nothing is left
     */
    public Outcomes minus(final Outcomes part) {
        if (startMillis != part.startMillis) {
            return this;
        }
        final double rest = responses - part.responses;
        return rest <= 0 ? NONE : new Outcomes(startMillis, rest, excess - part.excess);
    }

    /**
     * Returns the excess failure rate.
     *
     * @return the excess for each response, 0 without responses
     */
    double excessRate() {
        return responses == 0 ? 0 : excess / responses;
    }

    /**
     * Returns these outcomes with another weight.
     *
     * @param factor the factor on their weight
     * @return the outcomes
     */
    public Outcomes times(final double factor) {
        return new Outcomes(startMillis, responses * factor, excess * factor);
    }

    /**
     * Returns these outcomes in the precision in which they are sent between VMs.
     *
     * @return the outcomes, {@link #NONE} if nothing is left
     */
    Outcomes rounded() {
        return responseUnits() == 0 ? NONE : ofUnits(startMillis, responseUnits(), excessUnits());
    }

    /**
     * Returns these outcomes with so little weight that their excess is at most as given.
     *
     * @param max the largest excess, above 0
     * @return the outcomes, with the same ratio of excess to responses
     */
    public Outcomes withExcessAtMost(final double max) {
        return excess <= max ? this : times(max / excess);
    }
}
