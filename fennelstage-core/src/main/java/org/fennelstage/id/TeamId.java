package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a team, the unit of authorisation, limits and billing.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record TeamId(String value) implements Comparable<TeamId> {

    public TeamId {
        Objects.requireNonNull(value, "value is null");
        Names.check("team", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
     */
    public static TeamId of(final String value) {
        return new TeamId(value);
    }

    @Override
    public int compareTo(final TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
