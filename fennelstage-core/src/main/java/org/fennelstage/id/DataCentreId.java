package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a data centre.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    public DataCentreId {
        Objects.requireNonNull(value, "value is null");
        Names.check("data centre", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
     */
    public static DataCentreId of(final String value) {
        return new DataCentreId(value);
    }

    @Override
    public int compareTo(final DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
