package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a VM.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record VmId(String value) implements Comparable<VmId> {

    public VmId {
        Objects.requireNonNull(value, "value is null");
        Names.check("VM", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
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
