package org.fennelstage.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fennelstage.id.BackendServerId;

/**
 * Values by backend server; the least recently used entry is evicted first.
 *
 * <p>Invariant: never larger than {@link #MAX_KEPT}. Not thread-safe.
 *
 * @param <V> the type of the values
 */
final class RecentServers<V> extends LinkedHashMap<BackendServerId, V> {

    /** Holds a fleet of 600 backend servers that is replaced ten times under new ids. */
    static final int MAX_KEPT = 6_000;

    private static final long serialVersionUID = 1;

    private RecentServers() {
        super(16, 0.75f, true);
    }

    static <V> RecentServers<V> empty() {
        return new RecentServers<>();
    }

    @Override
    protected boolean removeEldestEntry(final Map.Entry<BackendServerId, V> eldest) {
        return size() > MAX_KEPT;
    }
}
