package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a backend server.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    public BackendServerId {
        Objects.requireNonNull(value, "value is null");
        Names.check("backend server", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
     */
    public static BackendServerId of(final String value) {
        return new BackendServerId(value);
    }

    @Override
    public int compareTo(final BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
