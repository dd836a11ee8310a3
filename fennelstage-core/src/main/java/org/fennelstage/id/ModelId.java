package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a model, of which there are versions.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record ModelId(String value) implements Comparable<ModelId> {

    public ModelId {
        Objects.requireNonNull(value, "value is null");
        Names.check("model", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static ModelId of(final String value) {
        return new ModelId(value);
    }

    @Override
    public int compareTo(final ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
