package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a profile.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record ProfileId(String value) implements Comparable<ProfileId> {

    public ProfileId {
        Objects.requireNonNull(value, "value is null");
        Names.check("profile", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
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
