package org.fennelstage.limit;

import java.util.Optional;

/**
 * Memory that the bytes of remote ends share, so that those which send without end cannot use up
 * the heap, however many they are.
 *
 * <p>A budget may have parts, each with a limit of its own: what is taken from a part is taken from
 * the whole too, so that one kind of remote ends leaves room for the others.
 *
 * <p>Invariant: the bytes taken and not given back never exceed the total, nor the limit of a part.
 * Not thread-safe.
 */
public final class ByteBudget {

    private final long total;
    private final Optional<ByteBudget> whole;
    private long taken;

    private ByteBudget(final long total, final Optional<ByteBudget> whole) {
        if (total <= 0) {
            throw new IllegalArgumentException("total is " + total);
        }
        this.total = total;
        this.whole = whole;
    }

    /**
     * Returns a budget of which nothing is taken.
     *
     * @param total the size; bytes
     * @return the budget
     */
    public static ByteBudget of(final long total) {
        return new ByteBudget(total, Optional.empty());
    }

    /**
     * Returns a part of this budget.
     *
     * @param limit the largest size that may be taken from the part; bytes
     * @return the part, of which nothing is taken
     */
    public ByteBudget part(final long limit) {
        return new ByteBudget(limit, Optional.of(this));
    }

    /**
     * Takes a part of the budget.
     *
     * @param bytes the size of the part
     * @return false if not enough is left; nothing is taken then
     */
    public boolean tryTake(final long bytes) {
        if (bytes > total - taken || !whole.map(w -> w.tryTake(bytes)).orElse(true)) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /**
     * Gives back what was taken.
     *
     * @param bytes the size
     */
    public void giveBack(final long bytes) {
        final long given = Math.min(taken, bytes);
        taken -= given;
        whole.ifPresent(w -> w.giveBack(given));
    }

    @Override
    public String toString() {
        return "ByteBudget[" + taken + " of " + total + "]";
    }
}
