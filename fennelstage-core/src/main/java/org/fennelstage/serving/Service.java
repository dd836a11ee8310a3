package org.fennelstage.serving;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.ServiceName;

/**
 * A group of interchangeable backend servers. Immutable and thread-safe.
 *
 * @param name its name
 * @param maxConnections how many connections one server accepts from all VMs together
 * @param engine capacity and models of its servers; empty for a plain service
 * @param warmUp the limits during warm-up; empty if its servers need no warm-up
 */
public record Service(
        ServiceName name, int maxConnections, Optional<Engine> engine, Optional<WarmUp> warmUp) {

    public Service {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(engine, "engine is null");
        Objects.requireNonNull(warmUp, "warmUp is null");
    }
}
