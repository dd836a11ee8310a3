package org.fennelstage.permit;

import java.time.Duration;
import java.util.Objects;

/**
 * What a request for a permit needs. Immutable and thread-safe.
 *
 * @param capacity the number of slots of the backend server, at least 1
 * @param objective the latency objective of the request
 * @param lease how long the permit counts if it is not returned
 */
public record PermitTerms(int capacity, Duration objective, Duration lease) {

    public PermitTerms {
        Objects.requireNonNull(objective, "objective is null");
        Objects.requireNonNull(lease, "lease is null");
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is " + capacity);
        }
    }
}
