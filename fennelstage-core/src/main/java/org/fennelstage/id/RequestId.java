package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies one request of a caller over all its attempts.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record RequestId(String value) implements Comparable<RequestId> {

    public RequestId {
        Objects.requireNonNull(value, "value is null");
        Names.check("request id", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static RequestId of(final String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(final RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
