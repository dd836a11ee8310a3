package org.fennelstage.request;

/**
 * Limits retries to a share of first attempts, so that retries do not overload failing backend
 * servers.
 *
 * <p>Invariant: the number of retries never exceeds {@code reserve + share * firstAttempts}.
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
     * @param share the retries per first attempt in the long run
     * @param reserve the maximum number of retries in a burst
     * @return the budget
     */
    public static RetryBudget of(final double share, final double reserve) {
        return new RetryBudget(share, reserve);
    }

    /** Records the first attempt of a request, which adds to the budget. */
    public synchronized void onFirstAttempt() {
        available = Math.min(reserve, available + share);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return true if the retry is permitted
     */
    public synchronized boolean tryRetry() {
        if (available < 1) {
            return false;
        }
        available -= 1;
        return true;
    }
}
