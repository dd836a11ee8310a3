package org.fennelstage.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.ServiceName;

/**
 * One version of the serving configuration, indexed for lookups by host, service and key.
 *
 * <p>Invariant: {@code route(h, p)} is the route of host {@code h} with the longest path prefix of
 * {@code p}. Immutable and thread-safe.
 */
public final class ServingConfiguration {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<ServiceName, Service> services;
    private final CallerLimits limits;
    private final Map<String, TeamAccess> keys;
    private final boolean keysInUse;

    private ServingConfiguration(
            final long version,
            final Map<String, List<Route>> routesByHost,
            final Map<ServiceName, Service> services,
            final CallerLimits limits,
            final Map<String, TeamAccess> keys,
            final boolean keysInUse) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.limits = limits;
        this.keys = keys;
        this.keysInUse = keysInUse;
    }

    /**
     * Builds a configuration.
     *
     * @param version its version number; higher is newer
     * @param routes the routes
     * @param services the services
     * @param limits the limits on callers
     * @param keys the teams by key
     * @param keysInUse whether requests need a key, unless their route is keyless
     * @return the configuration
     */
    public static ServingConfiguration of(
            final long version,
            final Collection<Route> routes,
            final Collection<Service> services,
            final CallerLimits limits,
            final Map<String, TeamAccess> keys,
            final boolean keysInUse) {
        Objects.requireNonNull(limits, "limits is null");
        final Map<String, List<Route>> byHost = new HashMap<>();
        for (final Route route : routes) {
            byHost.computeIfAbsent(lowerCase(route.host()), h -> new ArrayList<>()).add(route);
        }
        final Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        byHost.values().forEach(list -> list.sort(longestFirst));
        final Map<ServiceName, Service> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new ServingConfiguration(
                version, byHost, byName, limits, Map.copyOf(keys), keysInUse);
    }

    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether requests need a key, unless their route is keyless.
     *
     * @return true if any team is declared
     */
    public boolean keysInUse() {
        return keysInUse;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host that the request names, with or without a port
     * @param path the path without the query
     * @return the route, empty if none matches
     */
    public Optional<Route> route(final String host, final String path) {
        final int colon = host.indexOf(':');
        final String name = lowerCase(colon < 0 ? host : host.substring(0, colon));
        final List<Route> candidates = routesByHost.getOrDefault(name, List.of());
        for (final Route candidate : candidates) {
            if (path.startsWith(candidate.pathPrefix())) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the team of a key.
     *
     * @param key the key
     * @return the team and its priority, empty if the key belongs to no team
     */
    public Optional<TeamAccess> access(final String key) {
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Finds a service.
     *
     * @param name the service's name
     * @return the service, empty if it is not configured
     */
    public Optional<Service> service(final ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    @Override
    public String toString() {
        return "ServingConfiguration[version=" + version + "]";
    }

    private static String lowerCase(final String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
