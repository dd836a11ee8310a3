package org.fennelstage.id;

import java.util.Objects;

/**
 * Names a plain service that stands beside the model engines.
 *
 * <p>Invariant: the value is a valid name in the sense of {@link Names}. Immutable and thread-safe.
 *
 * @param value the name
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    public ServiceName {
        Objects.requireNonNull(value, "value is null");
        Names.check("service", value);
    }

    /**
     * Returns the id with this name.
     *
     * @param value the name
     * @return the id
     * @throws IllegalArgumentException if the value is not a valid name
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
