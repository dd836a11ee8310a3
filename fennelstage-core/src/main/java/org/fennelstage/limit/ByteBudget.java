package org.fennelstage.limit;

/**
 * Memory that the responses being received share, so that backend servers which send without end
 * cannot use up the heap, however many they are.
 *
 * <p>Invariant: the bytes taken and not given back never exceed the total. Not thread-safe.
 */
public final class ByteBudget {

    private final long total;
    private long taken;

    private ByteBudget(final long total) {
        this.total = total;
    }

    /**
     * Returns a budget of which nothing is taken.
     *
     * @param total the size; bytes
     * @return the budget
     */
    public static ByteBudget of(final long total) {
        if (total <= 0) {
            throw new IllegalArgumentException("total is " + total);
        }
        return new ByteBudget(total);
    }

    /**
     * Takes a part of the budget.
     *
     * @param bytes the size of the part
     * @return false if not enough is left; nothing is taken then
     */
    public boolean tryTake(final long bytes) {
        if (bytes > total - taken) {
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
        taken = Math.max(0, taken - bytes);
    }

    @Override
    public String toString() {
        return "ByteBudget[" + taken + " of " + total + "]";
    }
}
