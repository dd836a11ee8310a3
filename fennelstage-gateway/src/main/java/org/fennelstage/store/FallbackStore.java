package org.fennelstage.store;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.crash.QuarantineEntry;
import org.fennelstage.history.Position;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * Calls the store directly while it is available to this VM, and through other VMs, the relays,
 * while it is not.
 *
 * <p>The store may be unavailable to single VMs, by errors, resets or timeouts, while it serves all
 * others. Such a VM would otherwise keep outdated keys and routes.
 *
 * <p>When one direct call fails, all pending direct calls fail with it, so that a long watch does
 * not wait for its own timeout.
 *
 * <p>Invariant: every call gets exactly one result. Not thread-safe; confined to one event loop.
 */
public final class FallbackStore implements Store {

    /** How long calls avoid the store after a failure, if there are relays; milliseconds. */
    private static final long RETRY_MILLIS = 1_500;

    /** Relays tried for one call. If all fail, the store is unavailable to all VMs. */
    private static final int MAX_RELAYS = 3;

    /** A call that can be made directly or through a relay. */
    @FunctionalInterface
    private interface Call<T> {
        void make(Store store, Consumer<StoreResult<T>> callback);
    }

    /** A pending direct call. */
    private final class Pending<T> {
        private final Call<T> call;
        private final Consumer<StoreResult<T>> callback;
        private boolean completed;

        private Pending(final Call<T> call, final Consumer<StoreResult<T>> callback) {
            this.call = call;
            this.callback = callback;
        }

        private void onResult(final StoreResult<T> result) {
            if (completed) {
                return;
            }
            pending.remove(this);
            if (result instanceof StoreResult.Unavailable<T> unavailable) {
                onStoreFailed(unavailable.detail());
                callRelay(call, relays.get(), 0, result, callback);
            } else {
                onStoreResponded();
                callback.accept(result);
            }
        }

        private void fail() {
            completed = true;
            callback.accept(
                    new StoreResult.Unavailable<>(true, "another call to the store failed"));
        }
    }

    private final Store store;
    private final Supplier<List<Store>> relays;
    private final MonotonicClock clock;
    private final Set<Pending<?>> pending = new LinkedHashSet<>();
    private boolean failed;
    private long failedMillis;
    private long retryAtMillis;

    /**
     * Creates the store.
     *
     * @param store calls the store directly
     * @param relays call the store through other VMs, the preferred one first
     * @param clock the clock
     */
    public FallbackStore(
            final Store store, final Supplier<List<Store>> relays, final MonotonicClock clock) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.relays = Objects.requireNonNull(relays, "relays is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    @Override
    public <T> void list(
            final StoreKind<T> kind,
            final Optional<String> after,
            final Consumer<StoreResult<Page<T>>> callback) {
        call((s, c) -> s.list(kind, after, c), callback);
    }

    @Override
    public <T> void listStale(
            final StoreKind<T> kind, final Consumer<StoreResult<Page<T>>> callback) {
        call((s, c) -> s.listStale(kind, c), callback);
    }

    @Override
    public <T> void watch(
            final StoreKind<T> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<Page<T>>> callback) {
        call((s, c) -> s.watch(kind, since, wait, c), callback);
    }

    @Override
    public void writePhase(
            final RolloutOrder order,
            final RolloutPhase phase,
            final Instant begunAt,
            final Consumer<StoreResult<Void>> callback) {
        call((s, c) -> s.writePhase(order, phase, begunAt, c), callback);
    }

    @Override
    public void writeVm(final VmEntry entry, final Consumer<StoreResult<Void>> callback) {
        call((s, c) -> s.writeVm(entry, c), callback);
    }

    @Override
    public void writeQuarantine(
            final QuarantineEntry entry, final Consumer<StoreResult<Void>> callback) {
        call((s, c) -> s.writeQuarantine(entry, c), callback);
    }

    @Override
    public void deleteQuarantine(
            final QuarantineEntry entry, final Consumer<StoreResult<Void>> callback) {
        call((s, c) -> s.deleteQuarantine(entry, c), callback);
    }

    /**
     * Returns whether this VM may relay a call of another VM to the store. While the store is
     * unavailable to this VM, one call after each pause is allowed as a probe. Each probe restarts
     * the pause.
     *
     * @return false if the call is expected to fail
     */
    public boolean mayRelay() {
        if (!failed) {
            return true;
        }
        if (clock.millis() < retryAtMillis) {
            return false;
        }
        retryAtMillis = clock.millis() + RETRY_MILLIS;
        return true;
    }

    /**
     * Returns when direct calls to the store began to fail.
     *
     * @return the time on the clock of this store; empty while the store responds
     */
    public OptionalLong failedSinceMillis() {
        return failed ? OptionalLong.of(failedMillis) : OptionalLong.empty();
    }

    /** Records that the store responded to a relayed call of another VM. */
    public void onRelayed() {
        onStoreResponded();
    }

    /**
     * Records that a relayed call of another VM failed at the store.
     *
     * @param detail the cause, for the log
     */
    public void onRelayFailed(final String detail) {
        onStoreFailed(detail);
    }

    private <T> void call(final Call<T> call, final Consumer<StoreResult<T>> callback) {
        final List<Store> others = relays.get();
        if (failed && clock.millis() < retryAtMillis && !others.isEmpty()) {
            callRelay(
                    call,
                    others,
                    0,
                    new StoreResult.Unavailable<>(false, "store is unavailable to this VM"),
                    callback);
            return;
        }
        final Pending<T> waiting = new Pending<>(call, callback);
        pending.add(waiting);
        call.make(store, waiting::onResult);
    }

    private <T> void callRelay(
            final Call<T> call,
            final List<Store> others,
            final int tried,
            final StoreResult<T> lastResult,
            final Consumer<StoreResult<T>> callback) {
        if (tried >= others.size() || tried >= MAX_RELAYS) {
            callback.accept(lastResult);
            return;
        }
        call.make(
                others.get(tried),
                result -> {
                    final boolean tryNext =
                            result instanceof StoreResult.Unavailable<T>
                                    || result instanceof StoreResult.TooLarge<T>;
                    if (tryNext) {
                        callRelay(call, others, tried + 1, result, callback);
                    } else {
                        callback.accept(result);
                    }
                });
    }

    private void onStoreFailed(final String detail) {
        retryAtMillis = clock.millis() + RETRY_MILLIS;
        if (failed) {
            return;
        }
        failed = true;
        failedMillis = clock.millis();
        EventLog.write(
                Event.DIRECT_STORE_ACCESS_LOST, "detail", detail, "relays", relays.get().size());
        final List<Pending<?>> waiting = new ArrayList<>(pending);
        pending.clear();
        waiting.forEach(Pending::fail);
    }

    private void onStoreResponded() {
        if (failed) {
            failed = false;
            EventLog.write(Event.DIRECT_STORE_ACCESS_RESTORED, "relays", relays.get().size());
        }
    }
}
