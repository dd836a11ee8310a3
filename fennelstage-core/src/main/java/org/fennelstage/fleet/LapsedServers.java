package org.fennelstage.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What was known of workers whose entries are gone, in case they come back.
 *
 * <p>An entry lapses when its worker does not reach the store for some seconds, and comes back with
 * the same worker. Begun anew, it would be sent requests though it had said that it wants none for
 * a time, and the requests that run there would not count.
 *
 * <p>Law: holds at most {@link #MOST_KEPT}; the one kept first goes first. Not thread-safe.
 */
final class LapsedServers {

    /** As many as lapse at once when a data centre is cut off; an entry holds some counts. */
    private static final int MOST_KEPT = 200;

    private final Map<Incarnation, TrackedServer> servers = new LinkedHashMap<>();

    private LapsedServers() {}

    static LapsedServers empty() {
        return new LapsedServers();
    }

    void keep(final TrackedServer server) {
        servers.put(server.entry().incarnation(), server);
        if (servers.size() > MOST_KEPT) {
            servers.remove(servers.keySet().iterator().next());
        }
    }

    /** Takes out what is known of a worker; empty if nothing is. */
    Optional<TrackedServer> take(final Incarnation incarnation) {
        return Optional.ofNullable(servers.remove(incarnation));
    }

    @Override
    public String toString() {
        return "LapsedServers[" + servers.size() + "]";
    }
}
