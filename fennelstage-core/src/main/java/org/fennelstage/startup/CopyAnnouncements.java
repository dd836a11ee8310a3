package org.fennelstage.startup;

import java.util.Objects;
import java.util.function.LongUnaryOperator;

/**
 * Decides when a VM that may give copies says so to the other VMs of its data centre. A VM that
 * starts cut off from the store has no list of VMs, and in a large fleet receives no other messages
 * before it takes part in their exchange.
 *
 * <p>Invariant: nothing is due while the VM may not give copies. Not thread-safe.
 */
public final class CopyAnnouncements {

    /**
     * Announcements per second that each VM receives on average. A starting VM receives the first
     * within a quarter of a second, and the cost does not grow with the data centre.
     */
    static final long RECEIVED_PER_SECOND = 4;

    /** Shortest period of one VM; milliseconds. */
    static final long MIN_PERIOD_MILLIS = 500;

    private final LongUnaryOperator random;
    private boolean announcing;
    private long dueMillis;

    /**
     * Creates announcements of a VM that may not give copies.
     *
     * @param random returns a random number from 0 up to its argument, exclusive
     */
    public CopyAnnouncements(final LongUnaryOperator random) {
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Returns whether an announcement is to be sent now. To be called several times a second.
     *
     * @param mayGive whether the VM is ready and the store unavailable to it
     * @param others the number of other VMs in its data centre
     * @param nowMillis the time; milliseconds
     * @return true if one is due, which counts as sent
     */
    public boolean isDue(final boolean mayGive, final int others, final long nowMillis) {
        final long period = Math.max(MIN_PERIOD_MILLIS, 1_000L * others / RECEIVED_PER_SECOND);
        if (mayGive != announcing) {
            announcing = mayGive;
            dueMillis = nowMillis + random.applyAsLong(period);
        }
        if (!mayGive || others == 0 || nowMillis < dueMillis) {
            return false;
        }
        // The jitter keeps VMs that lost the store together from sending together.
        dueMillis = nowMillis + period / 2 + random.applyAsLong(period);
        return true;
    }
}
