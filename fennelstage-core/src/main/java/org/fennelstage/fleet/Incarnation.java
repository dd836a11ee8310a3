package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.id.BackendServerId;

/**
 * One process lifetime of a backend server, from its start to its end.
 *
 * <p>A backend server may crash and start again under the same id, with an empty prompt cache and
 * no running requests. State observed of a server therefore belongs to the incarnation and not to
 * the id.
 *
 * <p>Invariant: {@code a.supersedes(b)} and {@code b.supersedes(a)} never hold together. Immutable
 * and thread-safe.
 *
 * @param server the id of the backend server
 * @param startMillis its start time in Unix milliseconds by its own clock; zero if not reported
 */
public record Incarnation(BackendServerId server, long startMillis) {

    public Incarnation {
        Objects.requireNonNull(server, "server is null");
        if (startMillis < 0) {
            throw new IllegalArgumentException("negative start time: " + startMillis);
        }
    }

    /**
     * Returns the incarnation of a backend server that does not report its start time.
     *
     * @param server its id
     * @return the incarnation, superseded by each one with a start time
     */
    public static Incarnation of(final BackendServerId server) {
        return new Incarnation(server, 0);
    }

    /**
     * Returns whether this is a later incarnation of the same backend server.
     *
     * @param other another incarnation
     * @return true if the other one has ended
     */
    public boolean supersedes(final Incarnation other) {
        return server.equals(other.server) && startMillis > other.startMillis;
    }

    @Override
    public String toString() {
        return startMillis == 0 ? server.value() : server.value() + "@" + startMillis;
    }
}
