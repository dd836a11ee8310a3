package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies one rollout of a model version.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record RolloutId(String value) implements Comparable<RolloutId> {

    public RolloutId {
        Objects.requireNonNull(value, "value is null");
        Names.check("rollout", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
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
