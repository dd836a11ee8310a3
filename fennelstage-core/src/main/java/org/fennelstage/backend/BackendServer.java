package org.fennelstage.backend;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VersionId;

/**
 * A worker that answers requests: of a model engine with its versions, or of a plain service.
 *
 * <p>Invariant: it has versions or a service, not both. Immutable and thread-safe.
 *
 * @param id the worker
 * @param dataCentre where it stands
 * @param host its IP address
 * @param port its TCP port
 * @param versions the versions it serves
 * @param service the plain service it belongs to
 * @param slots how many requests it runs at once
 * @param leaving whether it gets no new work
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
            throw new IllegalArgumentException("backend server " + id + ": bad slots or port");
        }
    }
}
