package org.fennelstage.serving;

import java.util.Objects;
import org.fennelstage.id.ServiceName;

/**
 * A service of a route, with its share of the route's requests. Immutable and thread-safe.
 *
 * @param service the service
 * @param weight its weight among the route's services; not negative
 */
public record WeightedService(ServiceName service, int weight) {

    public WeightedService {
        Objects.requireNonNull(service, "service is null");
        if (weight < 0) {
            throw new IllegalArgumentException(
                    "weight of service " + service + " is negative: " + weight);
        }
    }
}
