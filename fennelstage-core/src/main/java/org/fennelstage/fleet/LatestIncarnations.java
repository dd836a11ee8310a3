package org.fennelstage.fleet;

import java.util.Map;
import org.fennelstage.id.BackendServerId;

/**
 * The latest known incarnation of each backend server, including servers without an entry.
 *
 * <p>Invariant: an incarnation is accepted only if none that supersedes it was accepted before, as
 * long as its server is among the {@link RecentServers#MAX_KEPT} most recently used. Not
 * thread-safe.
 */
final class LatestIncarnations {

    private final Map<BackendServerId, Incarnation> latest = RecentServers.empty();

    private LatestIncarnations() {}

    static LatestIncarnations empty() {
        return new LatestIncarnations();
    }

    /**
     * Records an incarnation unless a later one of the same backend server is known.
     *
     * @param incarnation the incarnation
     * @return false if a later incarnation is known
     */
    boolean accept(final Incarnation incarnation) {
        final Incarnation known = latest.get(incarnation.server());
        if (known != null && known.supersedes(incarnation)) {
            return false;
        }
        latest.put(incarnation.server(), incarnation);
        return true;
    }

    @Override
    public String toString() {
        return "LatestIncarnations[" + latest.size() + "]";
    }
}
