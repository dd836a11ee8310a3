package org.fennelstage.permit;

import java.time.Duration;

/**
 * Computes how many requests may be at a backend server at a time so that their responses are in
 * time. Stateless and thread-safe.
 *
 * <pre>{@code
 * // 6 slots of 40 ms, objective 200 ms: a request may wait for 40 ms, so 6 may wait
 * requests(6, 40, 0, Duration.ofMillis(200))  // 12
 * }</pre>
 */
public final class QueueLimit {

    /**
     * Part of the time between the slot time and the objective that a request may wait. The rest is
     * for requests that occupy a slot for longer than usual, and for callers that return after a
     * rejection.
     */
    private static final double WAIT_PART = 0.25;

    private QueueLimit() {}

    /**
     * Returns the number of requests, running, waiting and in transit, that may be on their way
     * through a backend server.
     *
     * <p>Laws: never less than the capacity, so that no slot is left unused; not less for a longer
     * objective, and not more for a longer slot time. If the requests spend no time in transit, the
     * result is the number at the backend server itself.
     *
     * @param capacity the number of its slots
     * @param slotMillis how long a request occupies a slot; milliseconds, positive
     * @param transitMillis how long a request counts while it is not at the backend server, not
     *     negative; milliseconds
     * @param objective the latency objective of the requests
     * @return the number of requests
     */
    public static int requests(
            final int capacity,
            final double slotMillis,
            final double transitMillis,
            final Duration objective) {
        final double spareMillis = objective.toMillis() - slotMillis - transitMillis;
        final double waitMillis = Math.max(0, spareMillis) * WAIT_PART;
        final double notRunning = capacity * (waitMillis + transitMillis) / slotMillis;
        return capacity + (int) Math.min(Integer.MAX_VALUE - capacity, notRunning);
    }
}
