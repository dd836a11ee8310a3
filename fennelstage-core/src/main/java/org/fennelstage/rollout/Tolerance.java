package org.fennelstage.rollout;

/**
 * The failure rates of a candidate that are still acceptable, one per {@link Signal}.
 *
 * <p>Invariant: each is in (0, 1). Immutable and thread-safe.
 *
 * @param errors the rate of failed requests
 * @param poorRatings the rate of rated answers below the profile's quality
 * @param truncations the rate of answers cut short
 * @param late the rate of answers later than the objective
 */
public record Tolerance(double errors, double poorRatings, double truncations, double late) {

    /** Suits a version whose predecessor fails rarely. */
    public static final Tolerance DEFAULT = new Tolerance(0.02, 0.10, 0.02, 0.05);

    public Tolerance {
        check(errors);
        check(poorRatings);
        check(truncations);
        check(late);
    }

    /**
     * Returns the acceptable rate of one signal.
     *
     * @param signal the signal
     * @return the rate
     */
    public double of(final Signal signal) {
        return switch (signal) {
            case ERROR -> errors;
            case POOR_RATING -> poorRatings;
            case TRUNCATION -> truncations;
            case LATE -> late;
        };
    }

    private static void check(final double rate) {
        if (!(rate > 0 && rate < 1)) {
            throw new IllegalArgumentException("tolerance outside (0, 1): " + rate);
        }
    }
}
