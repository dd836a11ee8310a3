package org.fennelstage.serving;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.fennelstage.id.ModelId;

/**
 * How requests below one path of one host are served.
 *
 * <p>Invariant: there is at least one service. Immutable and thread-safe.
 *
 * @param name its name in logs and metrics
 * @param host the host that callers name
 * @param pathPrefix the beginning of the paths; begins and ends with a slash
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another worker
 * @param keyless whether no key is asked for
 * @param services the services and their parts
 * @param maxServers the largest number of workers to which one request may be sent
 * @param timeout the longest time that a request may be kept
 * @param objective the time within which a response, or its first event, has its full value
 * @param maxPause the longest pause between events of a stream that is in time; zero if not given
 * @param priority the rank, 0 first
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
     * Tells whether a request may run more than once.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean retryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Chooses the service of a request.
     *
     * @param draw a number in [0, 1)
     * @return the service; empty if all weights are zero
     */
    public Optional<WeightedService> service(final double draw) {
        final int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = draw * total;
        for (final WeightedService candidate : services) {
            left -= candidate.weight();
            if (left < 0) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the rank of a request.
     *
     * @param team the rank of its team, empty if it has none
     * @return the team's rank if there is one, else the route's
     */
    public int effectivePriority(final OptionalInt team) {
        return team.orElse(priority);
    }
}
