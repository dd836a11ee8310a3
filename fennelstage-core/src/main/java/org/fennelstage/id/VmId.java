package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies an entry VM.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record VmId(String value) implements Comparable<VmId> {

    public VmId {
        Objects.requireNonNull(value, "value is null");
        Names.check("VM", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static VmId of(final String value) {
        return new VmId(value);
    }

    @Override
    public int compareTo(final VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
