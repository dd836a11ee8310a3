package org.fennelstage.canary;

import java.util.Objects;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;

/**
 * The age of a rollout order by monotonic clocks, as VMs report it to each other. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param target the new version
 * @param position the newest position of the order that the sender knows; tells the order from
 *     earlier ones for the same version, whose positions are lower
 * @param millis the time since the order was given; milliseconds
 */
public record RolloutAge(ServiceName service, String target, Position position, long millis) {

    public RolloutAge {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(position, "position is null");
    }
}
