package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a session: a sequence of requests that stays on one version.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record SessionId(String value) implements Comparable<SessionId> {

    public SessionId {
        Objects.requireNonNull(value, "value is null");
        Names.check("session id", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
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
