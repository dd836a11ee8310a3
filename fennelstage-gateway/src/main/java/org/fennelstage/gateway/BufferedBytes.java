package org.fennelstage.gateway;

import java.util.Objects;
import org.fennelstage.limit.ByteBudget;

/**
 * Counts the bytes of one response that are kept until it, or an event of it, is whole.
 *
 * <p>Invariant: the count is what was taken of the budget and not given back, and never exceeds the
 * limit of a response. Not thread-safe.
 */
final class BufferedBytes {

    /**
     * Largest response that is not a stream, and largest event of a stream; bytes. Both are kept
     * until they are whole, and a server in trouble may send bytes without end.
     */
    private static final long MAX_BYTES = 8L << 20;

    private final ByteBudget budget;
    private long taken;

    BufferedBytes(final ByteBudget budget) {
        this.budget = Objects.requireNonNull(budget, "budget is null");
    }

    /** Counts further bytes, and returns false if they must not be kept. */
    boolean tryAdd(final int bytes) {
        final boolean added = taken + bytes <= MAX_BYTES && budget.tryTake(bytes);
        taken += added ? bytes : 0;
        return added;
    }

    /** Gives back what exceeds the bytes that are still kept. */
    void keep(final long bytes) {
        budget.giveBack(taken - bytes);
        taken = bytes;
    }

    long count() {
        return taken;
    }
}
