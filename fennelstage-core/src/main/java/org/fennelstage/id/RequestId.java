package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies one request of a caller across all its attempts.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the id
 */
public record RequestId(String value) implements Comparable<RequestId> {

    public RequestId {
        Objects.requireNonNull(value, "value is null");
        Names.check("request id", value);
    }

    /**
     * Returns the id with a text.
     *
     * @param value the text
     * @return the id
     * @throws IllegalArgumentException if the text is not valid
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
