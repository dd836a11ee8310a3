package org.fennelstage.permit;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.admission.Admission;

/**
 * Whether a permit was issued, with what the decision was based on. Immutable and thread-safe.
 *
 * @param issued whether it was issued
 * @param requests the number of issued permits, this one included if it was issued
 * @param limit how many permits may be issued
 * @param slotTime how long a request occupies a slot of the backend server
 * @param untilRoom the time after which a request that got no permit is likely to get one, or after
 *     which it is no likelier to get one than now
 * @param admission what the request could use by the share of its priority and team; empty if
 *     permits are not shared by them or another VM decided
 */
public record PermitDecision(
        boolean issued,
        int requests,
        int limit,
        Duration slotTime,
        Duration untilRoom,
        Optional<Admission> admission) {

    public PermitDecision {
        Objects.requireNonNull(slotTime, "slotTime is null");
        Objects.requireNonNull(untilRoom, "untilRoom is null");
        Objects.requireNonNull(admission, "admission is null");
    }

    /**
     * Creates a decision without shares.
     *
     * @param issued whether the permit was issued
     * @param requests the number of issued permits
     * @param limit how many permits may be issued
     * @param slotTime how long a request occupies a slot
     * @param untilRoom the time after which a denied request may be repeated
     */
    public PermitDecision(
            final boolean issued,
            final int requests,
            final int limit,
            final Duration slotTime,
            final Duration untilRoom) {
        this(issued, requests, limit, slotTime, untilRoom, Optional.empty());
    }

    /**
     * Returns when a caller may return whose request got no permit, spread so that callers rejected
     * together do not return together.
     *
     * @param draw random number in [0, 1)
     * @return the time until then, at least a millisecond
     */
    public Duration retryAfter(final double draw) {
        return Duration.ofMillis(Math.max(1, Math.round((0.5 + draw) * untilRoom.toMillis())));
    }
}
