package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a session: a sequence of requests that stays on one version.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record SessionId(String value) implements Comparable<SessionId> {

    public SessionId {
        Objects.requireNonNull(value, "value is null");
        Names.check("session id", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static SessionId of(final String value) {
        return new SessionId(value);
    }

    @Override
    public int compareTo(final SessionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
