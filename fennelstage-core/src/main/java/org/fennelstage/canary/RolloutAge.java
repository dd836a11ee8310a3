package org.fennelstage.canary;

import java.util.Objects;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;

/**
 * How long ago an order to roll a version out was given, by steady clocks. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param target the new version
 * @param position the newest position of the order that its sender knows; of an earlier order for
 *     the same version it is before any of this one
 * @param millis the age; milliseconds
 */
public record RolloutAge(ServiceName service, String target, Position position, long millis) {

    public RolloutAge {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(position, "position is null");
    }
}
