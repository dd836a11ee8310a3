package org.fennelstage.fleet;

/**
 * Requests running at one backend server. Immutable and thread-safe.
 *
 * @param running the number of running requests
 * @param unreadMillis expected time to read (prefill) the prompts of those without a response yet;
 *     milliseconds
 */
public record Load(int running, long unreadMillis) {

    /** No requests. */
    public static final Load NONE = new Load(0, 0);

    /**
     * Returns the sum of two loads.
     *
     * @param other another load at the same backend server
     * @return the sum
     */
    public Load plus(final Load other) {
        return new Load(running + other.running, unreadMillis + other.unreadMillis);
    }

    /**
     * Returns the difference of two loads.
     *
     * @param other the load to subtract
     * @return the difference
     */
    public Load minus(final Load other) {
        return new Load(running - other.running, unreadMillis - other.unreadMillis);
    }

    Load times(final double factor) {
        return new Load((int) Math.round(running * factor), Math.round(unreadMillis * factor));
    }
}
