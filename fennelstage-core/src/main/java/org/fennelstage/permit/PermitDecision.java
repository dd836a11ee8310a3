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
}
