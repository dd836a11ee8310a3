package org.fennelstage.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fennelstage.id.BackendServerId;

/**
 * The latest incarnation seen of each worker, also of workers whose entries are gone.
 *
 * <p>Law: an incarnation is accepted only if none that supersedes it was accepted before, as long
 * as its worker is among the last {@link #MOST_KEPT} heard of. Not thread-safe.
 */
final class Births {

    /**
     * Workers remembered. Ids are drawn anew for most starts, so a fleet of 600 workers replaced
     * ten times over fits; an entry takes some hundred bytes.
     */
    private static final int MOST_KEPT = 6_000;

    private final Map<BackendServerId, Incarnation> latest =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(
                        final Map.Entry<BackendServerId, Incarnation> eldest) {
                    return size() > MOST_KEPT;
                }
            };

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
