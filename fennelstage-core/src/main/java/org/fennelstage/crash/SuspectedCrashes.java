package org.fennelstage.crash;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * Requests whose connection to a backend server broke, while it is not known yet whether the server
 * crashed.
 *
 * <p>Until that is known, each broken connection counts as a crash: otherwise a request that
 * arrives again in the meantime could crash one more server than allowed. Not thread-safe.
 */
public final class SuspectedCrashes {

    private final Map<Incarnation, Set<RequestFingerprints>> pending = new HashMap<>();

    private SuspectedCrashes() {}

    /**
     * Returns an empty collection.
     *
     * @return the collection
     */
    public static SuspectedCrashes empty() {
        return new SuspectedCrashes();
    }

    /**
     * Adds a request whose connection broke.
     *
     * @param server the incarnation of the backend server
     * @param request the request's fingerprints
     * @return true if it is the first request of this server, which the caller should now probe
     */
    public boolean add(final Incarnation server, final RequestFingerprints request) {
        Objects.requireNonNull(request, "request is null");
        final boolean first = !pending.containsKey(server);
        pending.computeIfAbsent(server, s -> new LinkedHashSet<>()).add(request);
        return first;
    }

    /**
     * Removes and returns the requests of a backend server, once it is known whether the server
     * crashed.
     *
     * @param server the incarnation of the backend server
     * @return the fingerprints of the requests
     */
    public Set<RequestFingerprints> take(final Incarnation server) {
        final Set<RequestFingerprints> requests = pending.remove(server);
        return requests == null ? Set.of() : requests;
    }

    /**
     * Returns at how many backend servers a request's connection broke.
     *
     * @param content the fingerprint of the request's content
     * @return the number of servers
     */
    public int count(final Fingerprint content) {
        return (int)
                pending.values().stream()
                        .filter(r -> r.stream().anyMatch(q -> q.content().equals(content)))
                        .count();
    }

    @Override
    public String toString() {
        return "SuspectedCrashes[" + pending.size() + "]";
    }
}
