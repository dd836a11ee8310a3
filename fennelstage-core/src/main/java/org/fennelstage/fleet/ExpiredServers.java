package org.fennelstage.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * State of backend servers whose entries expired, to be reused if an entry is written again.
 *
 * <p>An entry expires when its backend server cannot reach the store for some seconds. When the
 * server registers again, its reported rejection time and its running requests must still count.
 *
 * <p>Invariant: holds at most {@link #MAX_KEPT}; the one that was kept first is evicted first. Not
 * thread-safe.
 */
final class ExpiredServers {

    /** Covers the backend servers that expire together when a data centre is cut off. */
    private static final int MAX_KEPT = 200;

    private final Map<Incarnation, TrackedServer> servers = new LinkedHashMap<>();

    private ExpiredServers() {}

    static ExpiredServers empty() {
        return new ExpiredServers();
    }

    void keep(final TrackedServer server) {
        servers.put(server.entry().incarnation(), server);
        if (servers.size() > MAX_KEPT) {
            servers.remove(servers.keySet().iterator().next());
        }
    }

    /** Removes and returns the state of an incarnation, empty if there is none. */
    Optional<TrackedServer> take(final Incarnation incarnation) {
        return Optional.ofNullable(servers.remove(incarnation));
    }

    @Override
    public String toString() {
        return "ExpiredServers[" + servers.size() + "]";
    }
}
