package org.fennelstage.request;

/**
 * Bounds retries by a share of first attempts, so that a pool that fails is not given more work the
 * more it fails.
 *
 * <p>Invariant: over any sequence, retries are at most {@code reserve + share * attempts}.
 * Thread-safe.
 */
public final class RetryBudget {

    private final double share;
    private final double reserve;
    private double available;

    private RetryBudget(final double share, final double reserve) {
        this.share = share;
        this.reserve = reserve;
        this.available = reserve;
    }

    /**
     * Returns a full budget.
     *
     * @param share retries per first attempt in the long run
     * @param reserve retries at once
     * @return the budget
     */
    public static RetryBudget of(final double share, final double reserve) {
        return new RetryBudget(share, reserve);
    }

    /** Notes a first attempt. */
    public synchronized void onFirstAttempt() {
        available = Math.min(reserve, available + share);
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return true if it may be made
     */
    public synchronized boolean tryRetry() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
