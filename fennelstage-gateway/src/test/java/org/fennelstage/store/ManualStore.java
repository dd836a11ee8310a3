package org.fennelstage.store;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.history.Position;

/** A store whose answers a test gives. Confined to the thread of its test. */
public class ManualStore implements Store {
    private final List<Consumer<StoreResult<?>>> waiting = new ArrayList<>();

    @Override
    public <T> void list(
            final StoreKind<T> kind,
            final Optional<String> after,
            final Consumer<StoreResult<Page<T>>> answer) {
        keep(answer);
    }

    @Override
    public <T> void listStale(
            final StoreKind<T> kind, final Consumer<StoreResult<Page<T>>> answer) {
        keep(answer);
    }

    @Override
    public <T> void watch(
            final StoreKind<T> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<Page<T>>> answer) {
        keep(answer);
    }

    @Override
    public void writePhase(
            final RolloutOrder order,
            final RolloutPhase phase,
            final Instant begunAt,
            final Consumer<StoreResult<Void>> answer) {
        keep(answer);
    }

    @Override
    public void writeVm(final VmEntry entry, final Consumer<StoreResult<Void>> answer) {
        keep(answer);
    }

    @Override
    public void writeQuarantine(
            final Fingerprint content, final Consumer<StoreResult<Void>> answer) {
        keep(answer);
    }

    @Override
    public void deleteQuarantine(
            final Fingerprint content, final Consumer<StoreResult<Void>> answer) {
        keep(answer);
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void keep(final Consumer answer) {
        waiting.add((Consumer<StoreResult<?>>) answer);
    }

    /** Returns who waits for an answer, the oldest first. */
    public List<Consumer<StoreResult<?>>> waiting() {
        return waiting;
    }

    /** Answers the oldest call that waits. */
    public void answer(final StoreResult<?> answer) {
        waiting.remove(0).accept(answer);
    }
}
