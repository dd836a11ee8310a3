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
 * @param text the response that it was decoded from, empty if unknown
 */
public record Page<T>(
        List<StoredValue<T>> values,
        Optional<String> next,
        Position position,
        Optional<PageText> text) {

    public Page {
        values = List.copyOf(values);
        Objects.requireNonNull(next, "next is null");
        Objects.requireNonNull(position, "position is null");
        Objects.requireNonNull(text, "text is null");
    }

    /**
     * Creates a page whose text is unknown.
     *
     * @param values the objects
     * @param next the name after which the list continues, empty on the last page
     * @param position the store position that the objects reflect
     */
    public Page(
            final List<StoredValue<T>> values,
            final Optional<String> next,
            final Position position) {
        this(values, next, position, Optional.empty());
    }
}
