package org.fennelstage.canary;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;

/**
 * An operator's order to move a service to a new version, with its present state. Immutable and
 * thread-safe.
 *
 * @param service the service
 * @param target the new version
 * @param duration the time after the order by which the rollout is to be completed or halted
 * @param phase the present phase
 * @param begunAt when a VM first recorded the order, by that VM's wall clock; empty if none has
 * @param position the position at which this state was written to the store
 */
public record RolloutOrder(
        ServiceName service,
        String target,
        Duration duration,
        RolloutPhase phase,
        Optional<Instant> begunAt,
        Position position) {

    public RolloutOrder {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(duration, "duration is null");
        Objects.requireNonNull(phase, "phase is null");
        Objects.requireNonNull(begunAt, "begunAt is null");
        Objects.requireNonNull(position, "position is null");
    }
}
