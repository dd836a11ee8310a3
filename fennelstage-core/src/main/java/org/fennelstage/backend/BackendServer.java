package org.fennelstage.backend;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VersionId;

/**
 * A backend server: either of a model engine, with the model versions it serves, or of a plain
 * service.
 *
 * <p>Invariant: it has versions or a service, not both. Immutable and thread-safe.
 *
 * @param id its id
 * @param dataCentre the data centre it runs in
 * @param host its IP address
 * @param port its TCP port
 * @param versions the model versions it serves; empty for a plain service
 * @param service the plain service it belongs to; empty for a model engine
 * @param slots how many requests it runs concurrently
 * @param leaving whether it is draining and gets no new requests
 */
public record BackendServer(
        BackendServerId id,
        DataCentreId dataCentre,
        String host,
        int port,
        Set<VersionId> versions,
        Optional<ServiceName> service,
        int slots,
        boolean leaving) {

    public BackendServer {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(service, "service is null");
        versions = Set.copyOf(versions);
        if (versions.isEmpty() == service.isEmpty()) {
            throw new IllegalArgumentException(
                    "backend server " + id + " needs either versions or a service");
        }
        if (slots < 1 || port < 1 || port > 65535) {
            throw new IllegalArgumentException("backend server " + id + ": invalid slots or port");
        }
    }
}
