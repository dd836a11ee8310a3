package org.fennelstage.copy;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.fennelstage.history.Position;
import org.fennelstage.store.Page;
import org.fennelstage.store.PageKeeper;
import org.fennelstage.store.PageText;
import org.fennelstage.time.MonotonicClock;

/**
 * The responses of the store about one kind, from which a copy can be made.
 *
 * <p>Invariant: the texts together reflect the position, or there are none; the changes take at
 * most {@link #MIN_MERGED_BYTES} or the length of the list plus one response. Not thread-safe;
 * confined to the event loop.
 */
final class KeptCopy implements PageKeeper {

    /** Length of changes below which they are not merged into the list, which costs a scan. */
    private static final int MIN_MERGED_BYTES = 16_384;

    private final CopyFormat format;
    private final MonotonicClock clock;
    private List<PageText> texts = List.of();
    private long listBytes;
    private long changeBytes;
    private Position position = Position.NONE;
    private OptionalLong confirmedMillis = OptionalLong.empty();

    KeptCopy(final CopyFormat format, final MonotonicClock clock) {
        this.format = Objects.requireNonNull(format, "format is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    @Override
    public void onList(final List<Optional<PageText>> pages, final Position newPosition) {
        position = newPosition;
        if (pages.stream().anyMatch(Optional::isEmpty)) {
            drop();
            return;
        }
        replace(pages.stream().flatMap(Optional::stream).toList());
        confirmedMillis = OptionalLong.of(clock.millis());
    }

    @Override
    public void onChanges(final Page<?> changes) {
        position = changes.position();
        if (confirmedMillis.isEmpty()) {
            return;
        }
        confirmedMillis = OptionalLong.of(clock.millis());
        if (changes.values().isEmpty()) {
            return;
        }
        if (changes.text().isEmpty()) {
            drop();
            return;
        }
        final List<PageText> longer = new ArrayList<>(texts);
        longer.add(changes.text().get());
        texts = List.copyOf(longer);
        changeBytes += changes.text().get().length();
        if (changeBytes > Math.max(MIN_MERGED_BYTES, listBytes)) {
            merge();
        }
    }

    private void replace(final List<PageText> list) {
        texts = List.copyOf(list);
        listBytes = list.stream().mapToLong(PageText::length).sum();
        changeBytes = 0;
    }

    /** Forgets the texts until the next list. */
    private void drop() {
        texts = List.of();
        confirmedMillis = OptionalLong.empty();
    }

    private void merge() {
        format.merge(texts, position).ifPresentOrElse(t -> replace(List.of(t)), this::drop);
    }

    /** Returns when the store last responded about the kind, empty if there is no copy. */
    OptionalLong confirmedMillis() {
        return confirmedMillis;
    }

    /** Returns the position up to which the kind was read. */
    Position position() {
        return position;
    }

    /** Returns some objects of the copy as a list at a position, empty if there is no copy. */
    Optional<PageText> list(final Position at, final Predicate<String> included) {
        return texts.isEmpty() ? Optional.empty() : format.merge(texts, at, included);
    }

    /** Returns the memory that the texts take; bytes. */
    long heldBytes() {
        return texts.stream().mapToLong(PageText::length).sum();
    }
}
