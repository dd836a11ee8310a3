package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.history.Position;

/**
 * The store shows a backend server as draining, or has removed its entry. Immutable and
 * thread-safe.
 *
 * @param server the backend server and its process lifetime
 * @param position the position of the change in the store's history; later entries override it
 * @param removed whether the entry was removed
 */
public record Departure(Incarnation server, Position position, boolean removed) {

    public Departure {
        Objects.requireNonNull(server, "server is null");
        Objects.requireNonNull(position, "position is null");
    }

    /**
     * Returns whether this departure applies to a backend server.
     *
     * @param entry an entry of a backend server
     * @return false if the entry belongs to another incarnation or was written later
     */
    boolean overrides(final ServerEntry entry) {
        return server.equals(entry.incarnation()) && !entry.position().isAfter(position);
    }
}
