package org.fennelstage.permit;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.admission.TrafficClass;

/**
 * What a request for a permit needs. Immutable and thread-safe.
 *
 * @param capacity the number of slots of the backend server, at least 1
 * @param objective the latency objective of the request
 * @param lease how long the permit counts if it is not returned
 * @param traffic the priority and team of the request; empty if permits are not shared by them or
 *     the VM that asks does not name them
 */
public record PermitTerms(
        int capacity, Duration objective, Duration lease, Optional<TrafficClass> traffic) {

    public PermitTerms {
        Objects.requireNonNull(objective, "objective is null");
        Objects.requireNonNull(lease, "lease is null");
        Objects.requireNonNull(traffic, "traffic is null");
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is " + capacity);
        }
    }

    /**
     * Creates terms without priority and team.
     *
     * @param capacity the number of slots of the backend server, at least 1
     * @param objective the latency objective of the request
     * @param lease how long the permit counts if it is not returned
     */
    public PermitTerms(final int capacity, final Duration objective, final Duration lease) {
        this(capacity, objective, lease, Optional.empty());
    }

    /**
     * Returns these terms for a class of requests.
     *
     * @param requested the priority and team of the request
     * @return the terms
     */
    public PermitTerms of(final TrafficClass requested) {
        return new PermitTerms(capacity, objective, lease, Optional.of(requested));
    }
}
