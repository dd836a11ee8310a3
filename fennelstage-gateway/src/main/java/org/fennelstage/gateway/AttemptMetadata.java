package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.TeamId;

/**
 * What goes to a worker beside the caller's own request. Immutable and thread-safe.
 *
 * @param server the worker that is meant; any other rejects the request
 * @param remaining how long the worker may take
 * @param team the caller's team, empty if its route asks for no key
 * @param priority how urgent the request is, 0 first; empty if the worker is not told
 * @param model the model that the router chose, empty if the caller named it
 * @param lastEventId the event after which a stream goes on, empty for its begin
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
