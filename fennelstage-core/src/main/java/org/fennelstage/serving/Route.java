package org.fennelstage.serving;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.fennelstage.id.ModelId;

/**
 * How requests for one host and path prefix are served.
 *
 * <p>Invariant: there is at least one service. Immutable and thread-safe.
 *
 * @param name its name in logs and metrics
 * @param host the host that requests name
 * @param pathPrefix the prefix of the paths; begins and ends with a slash
 * @param kind whether its requests may be retried
 * @param resumable whether a stream may be continued at another backend server
 * @param keyless whether requests need no key
 * @param services the services and their weights
 * @param maxServers the largest number of backend servers to which one request may be sent
 * @param timeout the longest time that a request may take
 * @param objective the latency objective: the time within which a response, or its first event, has
 *     its full value
 * @param maxPause the largest inter-token latency of a stream that meets its objective; zero if
 *     none is configured
 * @param priority the priority; 0 is the highest
 * @param sizes the models among which the router chooses, the smallest first; empty if the caller
 *     names the model
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        boolean keyless,
        List<WeightedService> services,
        int maxServers,
        Duration timeout,
        Duration objective,
        Duration maxPause,
        int priority,
        List<ModelId> sizes) {

    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(timeout, "timeout is null");
        Objects.requireNonNull(objective, "objective is null");
        Objects.requireNonNull(maxPause, "maxPause is null");
        services = List.copyOf(services);
        sizes = List.copyOf(sizes);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * Returns whether a request may run more than once.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean retryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Selects the service of a request at random, in proportion to the weights.
     *
     * @param draw a random number in [0, 1)
     * @return the service; empty if all weights are zero
     */
    public Optional<WeightedService> service(final double draw) {
        final int total = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = draw * total;
        for (final WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the priority of a request.
     *
     * @param team the priority of the caller's team, empty if it has none
     * @return the team's priority if there is one, else the route's
     */
    public int effectivePriority(final OptionalInt team) {
        return team.orElse(priority);
    }
}
