package org.fennelstage.canary;

import java.util.Objects;
import org.fennelstage.id.ServiceName;

/**
 * How long ago an order to roll a version out was given, by steady clocks. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param target the new version
 * @param revision the newest revision of the order that its sender knows; of an earlier order for
 *     the same version it is lower than any of this one
 * @param millis the age; milliseconds
 */
public record RolloutAge(ServiceName service, String target, long revision, long millis) {

    public RolloutAge {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(target, "target is null");
    }
}
