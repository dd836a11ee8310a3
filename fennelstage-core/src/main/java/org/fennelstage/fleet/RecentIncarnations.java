package org.fennelstage.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fennelstage.id.BackendServerId;

/**
 * Incarnations by backend server; the least recently used entry is evicted first.
 *
 * <p>Invariant: never larger than {@link #MAX_KEPT}. Not thread-safe.
 */
final class RecentIncarnations extends LinkedHashMap<BackendServerId, Incarnation> {

    /** Holds a fleet of 600 backend servers that is replaced ten times under new ids. */
    static final int MAX_KEPT = 6_000;

    private static final long serialVersionUID = 1;

    private RecentIncarnations() {
        super(16, 0.75f, true);
    }

    static RecentIncarnations empty() {
        return new RecentIncarnations();
    }

    @Override
    protected boolean removeEldestEntry(final Map.Entry<BackendServerId, Incarnation> eldest) {
        return size() > MAX_KEPT;
    }
}
