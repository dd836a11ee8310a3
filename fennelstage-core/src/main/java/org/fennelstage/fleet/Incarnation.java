package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.id.BackendServerId;

/**
 * One life of a worker, from its start to its end.
 *
 * <p>A worker may crash and start again under the id that it had. It then holds no prompt, runs no
 * request and has none of the faults of its former life, so all that is learnt of a worker belongs
 * to the incarnation and not to the id.
 *
 * <p>Law: {@code a.supersedes(b)} and {@code b.supersedes(a)} never hold together. Immutable and
 * thread-safe.
 *
 * @param server the worker's id
 * @param startMillis its start, Unix milliseconds by its own clock; zero if it does not say
 */
public record Incarnation(BackendServerId server, long startMillis) {

    public Incarnation {
        Objects.requireNonNull(server, "server is null");
        if (startMillis < 0) {
            throw new IllegalArgumentException("born before 1970: " + startMillis);
        }
    }

    /**
     * Returns the incarnation of a worker that does not say when it was born.
     *
     * @param server its id
     * @return the incarnation, superseded by every one that says it
     */
    public static Incarnation of(final BackendServerId server) {
        return new Incarnation(server, 0);
    }

    /**
     * Tells whether this is a later life of the same worker.
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
