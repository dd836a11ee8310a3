package org.fennelstage.crash;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * Requests whose connection to their worker broke, while it is not known yet whether the worker
 * itself ended.
 *
 * <p>Meanwhile each counts as an end: a request that comes again within these milliseconds would
 * end one worker more than it may. Not thread-safe.
 */
public final class SuspectedCrashes {

    private final Map<Incarnation, Set<Fingerprint>> pending = new HashMap<>();

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
     * Adds a request.
     *
     * @param server the worker
     * @param content the request
     * @return true if it is the first of its worker, which is to be looked at now
     */
    public boolean add(final Incarnation server, final Fingerprint content) {
        Objects.requireNonNull(content, "content is null");
        final boolean first = !pending.containsKey(server);
        pending.computeIfAbsent(server, s -> new LinkedHashSet<>()).add(content);
        return first;
    }

    /**
     * Takes out the requests of a worker, now that it is known what became of it.
     *
     * @param server the worker
     * @return the requests
     */
    public Set<Fingerprint> take(final Incarnation server) {
        final Set<Fingerprint> contents = pending.remove(server);
        return contents == null ? Set.of() : contents;
    }

    /**
     * Returns at how many workers a request's connection broke.
     *
     * @param content the request
     * @return the count
     */
    public int count(final Fingerprint content) {
        return (int) pending.values().stream().filter(c -> c.contains(content)).count();
    }

    @Override
    public String toString() {
        return "SuspectedCrashes[" + pending.size() + "]";
    }
}
