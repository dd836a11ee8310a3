package org.fennelstage.store;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.crash.QuarantineEntry;
import org.fennelstage.history.Position;

/** A store whose pending calls a test completes. Not thread-safe; confined to the test's thread. */
public class ManualStore implements Store {
    private final List<Consumer<StoreResult<?>>> pending = new ArrayList<>();

    @Override
    public <T> void list(
            final StoreKind<T> kind,
            final Optional<String> after,
            final Consumer<StoreResult<Page<T>>> callback) {
        addPending(callback);
    }

    @Override
    public <T> void listStale(
            final StoreKind<T> kind, final Consumer<StoreResult<Page<T>>> callback) {
        addPending(callback);
    }

    @Override
    public <T> void watch(
            final StoreKind<T> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<Page<T>>> callback) {
        addPending(callback);
    }

    @Override
    public void writePhase(
            final RolloutOrder order,
            final RolloutPhase phase,
            final Instant begunAt,
            final Consumer<StoreResult<Void>> callback) {
        addPending(callback);
    }

    @Override
    public void writeVm(final VmEntry entry, final Consumer<StoreResult<Void>> callback) {
        addPending(callback);
    }

    @Override
    public void writeQuarantine(
            final QuarantineEntry entry, final Consumer<StoreResult<Void>> callback) {
        addPending(callback);
    }

    @Override
    public void deleteQuarantine(
            final QuarantineEntry entry, final Consumer<StoreResult<Void>> callback) {
        addPending(callback);
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void addPending(final Consumer callback) {
        pending.add((Consumer<StoreResult<?>>) callback);
    }

    /** Returns the callbacks of pending calls, the oldest first. */
    public List<Consumer<StoreResult<?>>> pending() {
        return pending;
    }

    /** Completes the oldest pending call. */
    public void complete(final StoreResult<?> result) {
        pending.remove(0).accept(result);
    }
}
