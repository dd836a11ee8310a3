package org.fennelstage.store;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.history.Position;

/**
 * One stored object, or its deletion. Immutable and thread-safe.
 *
 * @param <T> the type that the object decodes to
 * @param name its name within its kind
 * @param position the store position of its last change
 * @param value its content, empty if it was deleted or is malformed
 * @param problem why the content is malformed, empty if it is valid
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
