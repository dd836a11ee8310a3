package org.fennelstage.attempt;

/**
 * The usual failure rate of a route's requests, as a moving average.
 *
 * <p>Some requests fail at every backend server. Without this baseline, such failures would count
 * against healthy servers and take them out of use. Not thread-safe.
 */
public final class BaselineFailureRate {

    /** Weight of a new response; about the last hundred responses count. */
    private static final double WEIGHT = 0.01;

    private double rate;

    /**
     * Adds a response.
     *
     * @param failed whether the backend server reported a failure
     */
    public void onResponse(final boolean failed) {
        rate += WEIGHT * ((failed ? 1 : 0) - rate);
    }

    /**
     * Returns the rate of failed responses.
     *
     * @return a number in [0, 1]
     */
    public double rate() {
        return rate;
    }
}
