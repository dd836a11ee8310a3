package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.TeamId;

/**
 * Data sent to a backend server with the caller's request. Immutable and thread-safe.
 *
 * @param server the target; any other backend server rejects the request
 * @param remaining the time left until the deadline of the request
 * @param team the caller's team, empty if the route requires no key
 * @param priority the priority of the request, 0 is the highest; empty if none is sent
 * @param model the model chosen by this VM, empty if the caller named it
 * @param lastEventId the event after which a stream continues, empty to start from the beginning
 */
public record AttemptMetadata(
        ServerEntry server,
        Duration remaining,
        Optional<TeamId> team,
        OptionalInt priority,
        Optional<ModelId> model,
        Optional<String> lastEventId) {

    public AttemptMetadata {
        Objects.requireNonNull(server, "server is null");
        Objects.requireNonNull(remaining, "remaining is null");
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(priority, "priority is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(lastEventId, "lastEventId is null");
    }
}
