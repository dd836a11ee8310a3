package org.fennelstage.attempt;

/**
 * The share of a route's requests that its workers fail anyway.
 *
 * <p>Some requests fail wherever they run. Held against the worker that had them, they would take
 * one sound worker after the other out of use. Not thread-safe.
 */
public final class BaselineFailureRate {

    /** Weight of one answer; about the last hundred count. */
    private static final double WEIGHT = 0.01;

    private double share;

    /**
     * Notes an answer.
     *
     * @param failed whether its worker said that it failed
     */
    public void onResponse(final boolean failed) {
        share += WEIGHT * ((failed ? 1 : 0) - share);
    }

    /**
     * Returns the share.
     *
     * @return a number in [0, 1]
     */
    public double share() {
        return share;
    }
}
