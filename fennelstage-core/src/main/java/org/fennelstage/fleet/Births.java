package org.fennelstage.fleet;

import java.util.Map;
import org.fennelstage.id.BackendServerId;

/**
 * The latest incarnation seen of each worker, also of workers whose entries are gone.
 *
 * <p>Law: an incarnation is accepted only if none that supersedes it was accepted before, as long
 * as its worker is among the last {@link RecentServers#MOST_KEPT} heard of. Not thread-safe.
 */
final class Births {

    private final Map<BackendServerId, Incarnation> latest = RecentServers.empty();

    private Births() {}

    static Births empty() {
        return new Births();
    }

    /**
     * Takes an incarnation unless it has ended.
     *
     * @param incarnation the incarnation
     * @return false if a later one of the same worker is known
     */
    boolean offer(final Incarnation incarnation) {
        final Incarnation known = latest.get(incarnation.server());
        if (known != null && known.supersedes(incarnation)) {
            return false;
        }
        latest.put(incarnation.server(), incarnation);
        return true;
    }

    @Override
    public String toString() {
        return "Births[" + latest.size() + "]";
    }
}
