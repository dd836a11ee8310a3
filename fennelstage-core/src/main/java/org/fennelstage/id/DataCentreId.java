package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a data centre.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    public DataCentreId {
        Objects.requireNonNull(value, "value is null");
        Names.check("data centre", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
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
