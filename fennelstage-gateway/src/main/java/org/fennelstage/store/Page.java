package org.fennelstage.store;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.history.Position;

/**
 * One page of a list, or the changes since a revision. Immutable and thread-safe.
 *
 * @param <T> the type that objects decode to
 * @param values the objects
 * @param next the name after which the list continues, empty on the last page
 * @param position the store position that the objects reflect
 */
public record Page<T>(List<StoredValue<T>> values, Optional<String> next, Position position) {

    public Page {
        values = List.copyOf(values);
        Objects.requireNonNull(next, "next is null");
        Objects.requireNonNull(position, "position is null");
    }
}
