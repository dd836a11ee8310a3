package org.fennelstage.fleet;

/**
 * Requests at one worker. Immutable and thread-safe.
 *
 * @param running how many it has
 * @param unreadMillis how long it will take to read the prompts of those that have not begun to
 *     answer; milliseconds
 */
public record Load(int running, long unreadMillis) {

    /** No request. */
    public static final Load NONE = new Load(0, 0);

    /**
     * Returns the load of both.
     *
     * @param other another load at the same worker
     * @return the sum
     */
    public Load plus(final Load other) {
        return new Load(running + other.running, unreadMillis + other.unreadMillis);
    }

    /**
     * Returns this load without a part of it.
     *
     * @param other the part
     * @return what is left
     */
    public Load minus(final Load other) {
        return new Load(running - other.running, unreadMillis - other.unreadMillis);
    }

    Load times(final double factor) {
        return new Load((int) Math.round(running * factor), Math.round(unreadMillis * factor));
    }
}
