package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a profile: a promise of quality, cost and speed.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record ProfileId(String value) implements Comparable<ProfileId> {

    public ProfileId {
        Objects.requireNonNull(value, "value is null");
        Names.check("profile", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static ProfileId of(final String value) {
        return new ProfileId(value);
    }

    @Override
    public int compareTo(final ProfileId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
