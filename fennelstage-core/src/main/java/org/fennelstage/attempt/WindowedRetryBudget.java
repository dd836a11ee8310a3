package org.fennelstage.attempt;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.fennelstage.time.MonotonicClock;

/**
 * Limits the retries of one service's requests in a sliding window, so that retries do not overload
 * a failing service further.
 *
 * <p>The whole fleet may make {@code ratio * requests + slack} retries in any window. Each VM
 * applies the ratio to its own requests and gets an equal share of the slack, so that VMs share no
 * counters.
 *
 * <p>Invariant: in any window, there are at most {@code ratio * requests + slack} retries. Not
 * thread-safe.
 */
public final class WindowedRetryBudget {

    /** Fraction of the allowed ratio that is used; a margin for requests at the window's edges. */
    private static final double USED_SHARE = 0.8;

    private final MonotonicClock clock;
    private final long windowMillis;
    private final double ratio;
    private final DoubleSupplier slack;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    private WindowedRetryBudget(
            final MonotonicClock clock,
            final long windowMillis,
            final double ratio,
            final DoubleSupplier slack) {
        this.clock = clock;
        this.windowMillis = windowMillis;
        this.ratio = ratio;
        this.slack = slack;
    }

    /**
     * Returns an unused budget.
     *
     * @param clock the clock
     * @param window the length of the sliding window
     * @param ratio how many retries per request the fleet may make
     * @param slack supplies how many retries beyond the ratio this VM may make at present
     * @return the budget
     */
    public static WindowedRetryBudget of(
            final MonotonicClock clock,
            final Duration window,
            final double ratio,
            final DoubleSupplier slack) {
        Objects.requireNonNull(clock, "clock is null");
        return new WindowedRetryBudget(clock, window.toMillis(), ratio * USED_SHARE, slack);
    }

    /** Records the first attempt of a request. */
    public void onRequest() {
        requests.addLast(clock.millis());
        removeExpired();
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return true if the retry is allowed
     */
    public boolean tryRetry() {
        removeExpired();
        if (retries.size() + 1 > ratio * requests.size() + slack.getAsDouble()) {
            return false;
        }
        retries.addLast(clock.millis());
        return true;
    }

    private void removeExpired() {
        final long oldest = clock.millis() - windowMillis;
        removeBefore(requests, oldest);
        removeBefore(retries, oldest);
    }

    private static void removeBefore(final Deque<Long> times, final long oldest) {
        while (!times.isEmpty() && times.peekFirst() < oldest) {
            times.pollFirst();
        }
    }
}
