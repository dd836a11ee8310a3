package org.fennelstage.id;

import java.util.Objects;

/**
 * Identifies a service that backend servers provide.
 *
 * <p>Invariant: the value is valid according to {@link Names}. Immutable and thread-safe.
 *
 * @param value the text of the name
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    public ServiceName {
        Objects.requireNonNull(value, "value is null");
        Names.check("service", value);
    }

    /**
     * Returns the name with a text.
     *
     * @param value the text
     * @return the name
     * @throws IllegalArgumentException if the text is not valid
     */
    public static ServiceName of(final String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(final ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
