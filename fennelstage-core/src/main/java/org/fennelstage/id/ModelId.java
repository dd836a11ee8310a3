package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a model; a model has one or more versions.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record ModelId(String value) implements Comparable<ModelId> {

    public ModelId {
        Objects.requireNonNull(value, "value is null");
        Names.check("model", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
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
