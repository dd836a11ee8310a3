package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies one roll-out of a model version.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record RolloutId(String value) implements Comparable<RolloutId> {

    public RolloutId {
        Objects.requireNonNull(value, "value is null");
        Names.check("roll-out", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static RolloutId of(final String value) {
        return new RolloutId(value);
    }

    @Override
    public int compareTo(final RolloutId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
