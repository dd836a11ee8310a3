package org.fennelstage.vm;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.history.Position;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.store.ManualStore;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;

/**
 * An in-memory store that can be restored from older copies; the test completes its calls.
 *
 * <p>A response may be created before a restore and delivered after it. Not thread-safe; confined
 * to the thread of its test.
 */
final class RestorableStore extends ManualStore {

    /** Creates an object as read at a position. */
    @FunctionalInterface
    interface Content {
        Object at(Position position);
    }

    private record Stored(StoreKind<?> kind, String name, long revision, Content content) {}

    private record Copy(Map<String, Stored> objects, long revision) {}

    /** A pending call; its response may exist already. */
    private final class Call {
        private final StoreKind<?> kind;
        private final Optional<Position> since;
        private final Consumer<StoreResult<?>> callback;
        private Optional<StoreResult<?>> prepared = Optional.empty();

        private Call(
                final StoreKind<?> kind,
                final Optional<Position> since,
                final Consumer<StoreResult<?>> callback) {
            this.kind = kind;
            this.since = since;
            this.callback = callback;
        }

        private boolean canRespond() {
            return prepared.isPresent()
                    || since.isEmpty()
                    || since.get().revision() > revision
                    || !changes().isEmpty();
        }

        private List<Stored> changes() {
            return history.stream()
                    .filter(s -> s.kind().equals(kind) && s.revision() > since.get().revision())
                    .toList();
        }

        private StoreResult<?> createResponse() {
            if (since.isEmpty()) {
                return page(objects.values().stream().filter(s -> s.kind().equals(kind)).toList());
            }
            return since.get().revision() > revision
                    ? new StoreResult.HistoryGone<>()
                    : page(changes());
        }
    }

    private final Map<String, Stored> objects = new TreeMap<>();
    private final List<Stored> history = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final List<Runnable> writes = new ArrayList<>();
    private Copy copy = new Copy(Map.of(), 1);
    private long era = 1;
    private long revision = 1;

    /** Writes an object; empty content deletes it. */
    void put(final StoreKind<?> kind, final String name, final Optional<Content> content) {
        final String key = kind + "/" + name;
        revision++;
        final Stored stored = new Stored(kind, name, revision, content.orElse(null));
        if (content.isPresent()) {
            objects.put(key, stored);
        } else {
            objects.remove(key);
        }
        history.add(stored);
    }

    boolean has(final StoreKind<?> kind, final String name) {
        return objects.containsKey(kind + "/" + name);
    }

    List<String> names(final StoreKind<?> kind) {
        return objects.values().stream()
                .filter(s -> s.kind().equals(kind))
                .map(Stored::name)
                .toList();
    }

    Optional<RolloutOrder> order(final String service) {
        return Optional.ofNullable(objects.get(StoreKind.ROLLOUTS + "/" + service))
                .map(s -> (RolloutOrder) s.content().at(Position.of(era, s.revision())));
    }

    /** Replaces the copy by the current objects. */
    void copy() {
        copy = new Copy(Map.copyOf(objects), revision);
    }

    /** Restores the copy, while some responses to earlier calls are still in transit. */
    void restoreCopy(final Random random) {
        for (final Call call : calls) {
            if (call.canRespond() && random.nextBoolean()) {
                call.prepared = Optional.of(call.createResponse());
            }
        }
        era++;
        objects.clear();
        objects.putAll(copy.objects());
        revision = copy.revision();
        history.removeIf(s -> s.revision() > revision);
    }

    /**
     * Responds to one call or performs one write, drawn from those that are possible.
     *
     * @return false if there was none
     */
    boolean deliver(final Random random) {
        if (!writes.isEmpty() && random.nextBoolean()) {
            writes.remove(0).run();
            return true;
        }
        final List<Call> ready = calls.stream().filter(Call::canRespond).toList();
        if (ready.isEmpty()) {
            final boolean hasWrite = !writes.isEmpty();
            if (hasWrite) {
                writes.remove(0).run();
            }
            return hasWrite;
        }
        final Call call = ready.get(random.nextInt(ready.size()));
        calls.remove(call);
        call.callback.accept(call.prepared.orElseGet(call::createResponse));
        return true;
    }

    private StoreResult<?> page(final List<Stored> stored) {
        final List<StoredValue<Object>> values =
                stored.stream().map(s -> value(s, Position.of(era, s.revision()))).toList();
        return new StoreResult.Done<>(
                new Page<>(values, Optional.empty(), Position.of(era, revision)));
    }

    private static StoredValue<Object> value(final Stored stored, final Position position) {
        final Optional<Object> content =
                Optional.ofNullable(stored.content()).map(c -> c.at(position));
        return new StoredValue<>(stored.name(), position, content, Optional.empty());
    }

    @Override
    @SuppressWarnings({"unchecked", "rawtypes"})
    public <T> void list(
            final StoreKind<T> kind,
            final Optional<String> after,
            final Consumer<StoreResult<Page<T>>> callback) {
        calls.add(new Call(kind, Optional.empty(), (Consumer) callback));
    }

    @Override
    @SuppressWarnings({"unchecked", "rawtypes"})
    public <T> void watch(
            final StoreKind<T> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<Page<T>>> callback) {
        calls.add(new Call(kind, Optional.of(since), (Consumer) callback));
    }

    @Override
    public void writePhase(
            final RolloutOrder order,
            final RolloutPhase phase,
            final Instant begunAt,
            final Consumer<StoreResult<Void>> callback) {
        writes.add(() -> callback.accept(write(order, phase, begunAt)));
    }

    /** Compares only the revision, as the real store does. */
    private StoreResult<Void> write(
            final RolloutOrder order, final RolloutPhase phase, final Instant begunAt) {
        final String service = order.service().value();
        final Stored stored = objects.get(StoreKind.ROLLOUTS + "/" + service);
        if (stored == null || stored.revision() != order.position().revision()) {
            return new StoreResult.Conflict<>();
        }
        final RolloutOrder current = order(service).orElseThrow();
        // A phase of another target does not apply to this order.
        if (current.target().equals(order.target())) {
            put(
                    StoreKind.ROLLOUTS,
                    service,
                    Optional.of(order(current, phase, Optional.of(begunAt))));
        } else {
            put(
                    StoreKind.ROLLOUTS,
                    service,
                    Optional.of(order(current, RolloutPhase.ORDERED, Optional.empty())));
        }
        return new StoreResult.Done<>(null);
    }

    static Content order(
            final RolloutOrder order, final RolloutPhase phase, final Optional<Instant> begunAt) {
        return position ->
                new RolloutOrder(
                        order.service(),
                        order.target(),
                        order.duration(),
                        phase,
                        begunAt,
                        position);
    }

    static Content server(final ServerEntry entry) {
        return position ->
                new ServerEntry(
                        entry.incarnation(),
                        entry.service(),
                        entry.address(),
                        entry.dataCentre(),
                        entry.version(),
                        entry.capacity(),
                        entry.draining(),
                        position);
    }

    static Content configuration(final ServingConfiguration configuration) {
        return position -> configuration;
    }
}
