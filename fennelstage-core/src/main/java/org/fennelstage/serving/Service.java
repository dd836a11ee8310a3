package org.fennelstage.serving;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.ServiceName;

/**
 * A group of workers that answer the same requests. Immutable and thread-safe.
 *
 * @param name its name
 * @param maxConnections how many connections one worker accepts from all VMs together
 * @param engine what its workers can do, empty for a plain service
 * @param warmUp what its workers stand while they are cold, empty if they have no need to warm up
 */
public record Service(
        ServiceName name, int maxConnections, Optional<Engine> engine, Optional<WarmUp> warmUp) {

    public Service {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(engine, "engine is null");
        Objects.requireNonNull(warmUp, "warmUp is null");
    }
}
