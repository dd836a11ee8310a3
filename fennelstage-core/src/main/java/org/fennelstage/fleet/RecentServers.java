package org.fennelstage.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fennelstage.id.BackendServerId;

/**
 * Incarnations by worker, of the workers heard of last; those heard of longest ago go first.
 *
 * <p>Law: never larger than {@link #MOST_KEPT}. Not thread-safe.
 */
final class RecentServers extends LinkedHashMap<BackendServerId, Incarnation> {

    /**
     * Workers remembered. Ids are drawn anew for most starts, so a fleet of 600 workers replaced
     * ten times over fits; an entry takes some hundred bytes.
     */
    static final int MOST_KEPT = 6_000;

    private static final long serialVersionUID = 1;

    private RecentServers() {
        super(16, 0.75f, true);
    }

    static RecentServers empty() {
        return new RecentServers();
    }

    @Override
    protected boolean removeEldestEntry(final Map.Entry<BackendServerId, Incarnation> eldest) {
        return size() > MOST_KEPT;
    }
}
