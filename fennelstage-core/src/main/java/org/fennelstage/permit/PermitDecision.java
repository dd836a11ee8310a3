package org.fennelstage.permit;

import java.time.Duration;
import java.util.Objects;

/**
 * Whether a permit was issued, with what the decision was based on. Immutable and thread-safe.
 *
 * @param issued whether it was issued
 * @param requests the number of issued permits, this one included if it was issued
 * @param limit how many permits may be issued
 * @param slotTime how long a request occupies a slot of the backend server
 */
public record PermitDecision(boolean issued, int requests, int limit, Duration slotTime) {

    public PermitDecision {
        Objects.requireNonNull(slotTime, "slotTime is null");
    }

    /**
     * Returns when a caller may return whose request got no permit: when the next slot is likely
     * free, spread so that callers rejected together do not return together. A later return is not
     * served more likely, but its response is late.
     *
     * @param capacity the number of slots of the backend server, at least 1
     * @param draw random number in [0, 1)
     * @return the time until then, at least a millisecond
     */
    public Duration retryAfter(final int capacity, final double draw) {
        final double untilFreeMillis = slotTime.toMillis() / (double) capacity;
        return Duration.ofMillis(Math.max(1, Math.round((0.5 + draw) * untilFreeMillis)));
    }
}
