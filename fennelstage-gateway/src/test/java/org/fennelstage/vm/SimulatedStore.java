package org.fennelstage.vm;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fennelstage.history.Position;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;

/**
 * An in-memory store whose watches end in simulated time. Confined to the thread of its test.
 *
 * <p>Each write gets the next revision of one era.
 */
final class SimulatedStore {

    private record Change(StoreKind<?> kind, StoredValue<Object> value) {}

    private record Watch(StoreKind<?> kind, long since, Consumer<StoreResult<?>> callback) {}

    private final EventLoop loop;
    private final List<Change> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private int lists;
    private int watchCalls;

    SimulatedStore(final EventLoop loop) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
    }

    /** Writes an object; empty content deletes it. */
    void put(
            final StoreKind<?> kind,
            final String name,
            final Optional<RestorableStore.Content> content) {
        revision++;
        final Position position = position();
        history.add(
                new Change(
                        kind,
                        new StoredValue<>(
                                name,
                                position,
                                content.map(c -> c.at(position)),
                                Optional.empty())));
        for (final Watch watch : List.copyOf(watches)) {
            if (watch.kind().equals(kind)) {
                end(watch);
            }
        }
    }

    /** Returns an object, empty if it does not exist. */
    Optional<StoredValue<Object>> get(final StoreKind<?> kind, final String name) {
        return Optional.ofNullable(current(kind).get(name));
    }

    void list(final StoreKind<?> kind, final Consumer<StoreResult<?>> callback) {
        lists++;
        listStale(kind, callback);
    }

    /** Lists without being counted. */
    void listStale(final StoreKind<?> kind, final Consumer<StoreResult<?>> callback) {
        callback.accept(page(List.copyOf(current(kind).values())));
    }

    void watch(
            final StoreKind<?> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<?>> callback) {
        watchCalls++;
        final Watch watch = new Watch(kind, since.revision(), callback);
        watches.add(watch);
        if (changes(watch).isEmpty()) {
            loop.schedule(() -> end(watch), wait.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            end(watch);
        }
    }

    /** Returns the number of lists so far. */
    int lists() {
        return lists;
    }

    /** Returns the number of lists and watches so far. */
    int reads() {
        return lists + watchCalls;
    }

    private void end(final Watch watch) {
        if (watches.remove(watch)) {
            watch.callback().accept(page(changes(watch)));
        }
    }

    private List<StoredValue<Object>> changes(final Watch watch) {
        return history.stream()
                .filter(c -> c.kind().equals(watch.kind()))
                .map(Change::value)
                .filter(v -> v.position().revision() > watch.since())
                .toList();
    }

    private Map<String, StoredValue<Object>> current(final StoreKind<?> kind) {
        final Map<String, StoredValue<Object>> objects = new LinkedHashMap<>();
        history.stream()
                .filter(c -> c.kind().equals(kind))
                .forEach(c -> objects.put(c.value().name(), c.value()));
        objects.values().removeIf(v -> v.value().isEmpty());
        return objects;
    }

    private Position position() {
        return Position.of(0, revision);
    }

    private StoreResult<Page<Object>> page(final List<StoredValue<Object>> values) {
        return new StoreResult.Done<>(new Page<>(values, Optional.empty(), position()));
    }
}
