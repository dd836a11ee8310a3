package org.fennelstage.attempt;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.fennelstage.time.MonotonicClock;

/**
 * Bounds the repeats of one service's requests in a sliding window.
 *
 * <p>A pool that fails invites repeats, and the repeats make it fail more. The fleet may make
 * {@code ratio * requests + slack} repeats in any window; each VM keeps its part by its own
 * requests and an equal share of the slack, so that no count is shared.
 *
 * <p>Invariant: in any window, repeats are at most {@code ratio * requests + slack}. Not
 * thread-safe.
 */
public final class WindowedRetryBudget {

    /** Part of the allowed ratio that is used; the rest covers requests counted at its edges. */
    private static final double USED_SHARE = 0.8;

    private final MonotonicClock clock;
    private final long windowMillis;
    private final double ratio;
    private final DoubleSupplier slack;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

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
     * @param window the window
     * @param ratio repeats per request that the fleet may make
     * @param slack gives the repeats beyond that which this VM may make now
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

    /** Notes a request's first attempt. */
    public void onRequest() {
        requests.addLast(clock.millis());
        forget();
    }

    /**
     * Takes one repeat out of the budget.
     *
     * @return true if it may be made
     */
    public boolean tryRetry() {
        forget();
        if (repeats.size() + 1 > ratio * requests.size() + slack.getAsDouble()) {
            return false;
        }
        repeats.addLast(clock.millis());
        return true;
    }

    private void forget() {
        final long oldest = clock.millis() - windowMillis;
        dropBefore(requests, oldest);
        dropBefore(repeats, oldest);
    }

    private static void dropBefore(final Deque<Long> times, final long oldest) {
        while (!times.isEmpty() && times.peekFirst() < oldest) {
            times.pollFirst();
        }
    }
}
