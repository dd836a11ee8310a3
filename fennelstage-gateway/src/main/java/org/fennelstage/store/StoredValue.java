package org.fennelstage.store;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.history.Position;

/**
 * One object, or the news that it is gone. Immutable and thread-safe.
 *
 * @param <T> what the object decodes to
 * @param name its name within its kind
 * @param position where in the store's history it was changed last
 * @param value its content, empty if it was deleted or cannot be understood
 * @param problem why the content cannot be understood, empty if it can
 */
public record StoredValue<T>(
        String name, Position position, Optional<T> value, Optional<String> problem) {

    public StoredValue {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(position, "position is null");
        Objects.requireNonNull(value, "value is null");
        Objects.requireNonNull(problem, "problem is null");
    }
}
