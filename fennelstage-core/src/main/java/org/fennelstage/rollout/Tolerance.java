package org.fennelstage.rollout;

/**
 * The acceptable failure rates of a new version, one per {@link Signal}.
 *
 * <p>Invariant: each rate is in (0, 1). Immutable and thread-safe.
 *
 * @param errors the rate of failed requests
 * @param poorRatings the rate of rated answers below the profile's quality
 * @param truncations the rate of truncated responses
 * @param late the rate of responses whose first token is later than the latency objective
 */
public record Tolerance(double errors, double poorRatings, double truncations, double late) {

    /** Default for a model whose current version rarely fails. */
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
            throw new IllegalArgumentException("tolerance is outside (0, 1): " + rate);
        }
    }
}
