package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a worker of a model engine or of a plain service.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

    public BackendServerId {
        Objects.requireNonNull(value, "value is null");
        Names.check("backend server", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
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
