package org.fennelstage.store;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.history.Position;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * The store itself while it answers this VM, and the store as other VMs reach it while it does not.
 *
 * <p>The store may turn single VMs away, by an error, a reset or silence, and serve all others.
 * Such a VM would go on with old keys and routes while the rest of the fleet has new ones. Another
 * VM passes its calls on; the answers are the store's own, so nothing has to be reconciled.
 *
 * <p>A store that keeps silent is noticed by the first call that times out. All other calls that
 * wait for it fail at that moment; each would otherwise find out for itself, the longest watch
 * last. Invariant: every call gets exactly one answer. Confined to one event loop.
 */
public final class FallbackStore implements Store {

    /** How long the store is not asked after it failed, while a relay answers; milliseconds. */
    private static final long RETRY_MILLIS = 1_500;

    /** Relays asked for one call. More failures mean that the store is away for all. */
    private static final int MOST_RELAYS = 3;

    /** A call of some kind, to be made at any store. */
    @FunctionalInterface
    private interface Call<T> {
        void make(Store store, Consumer<StoreResult<T>> answer);
    }

    /** A call that waits for the store itself. */
    private final class Pending<T> {
        private final Call<T> call;
        private final Consumer<StoreResult<T>> answer;
        private boolean ended;

        private Pending(final Call<T> call, final Consumer<StoreResult<T>> answer) {
            this.call = call;
            this.answer = answer;
        }

        private void onAnswer(final StoreResult<T> result) {
            if (ended) {
                return;
            }
            pending.remove(this);
            if (result instanceof StoreResult.Unavailable<T> unavailable) {
                onStoreFailed(unavailable.detail());
                askRelay(call, relays.get(), 0, result, answer);
            } else {
                onStoreAnswered();
                answer.accept(result);
            }
        }

        private void fail() {
            ended = true;
            answer.accept(new StoreResult.Unavailable<>(true, "another call to the store failed"));
        }
    }

    private final Store store;
    private final Supplier<List<Store>> relays;
    private final MonotonicClock clock;
    private final Set<Pending<?>> pending = new LinkedHashSet<>();
    private boolean failed;
    private long retryAtMillis;

    /**
     * Creates the store.
     *
     * @param store the store itself
     * @param relays the store as other VMs reach it, the best first
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
            final Consumer<StoreResult<Page<T>>> answer) {
        call((s, a) -> s.list(kind, after, a), answer);
    }

    @Override
    public <T> void listStale(
            final StoreKind<T> kind, final Consumer<StoreResult<Page<T>>> answer) {
        call((s, a) -> s.listStale(kind, a), answer);
    }

    @Override
    public <T> void watch(
            final StoreKind<T> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<Page<T>>> answer) {
        call((s, a) -> s.watch(kind, since, wait, a), answer);
    }

    @Override
    public void writePhase(
            final RolloutOrder order,
            final RolloutPhase phase,
            final Instant begunAt,
            final Consumer<StoreResult<Void>> answer) {
        call((s, a) -> s.writePhase(order, phase, begunAt, a), answer);
    }

    @Override
    public void writeVm(final VmEntry entry, final Consumer<StoreResult<Void>> answer) {
        call((s, a) -> s.writeVm(entry, a), answer);
    }

    @Override
    public void writeQuarantine(
            final Fingerprint content, final Consumer<StoreResult<Void>> answer) {
        call((s, a) -> s.writeQuarantine(content, a), answer);
    }

    @Override
    public void deleteQuarantine(
            final Fingerprint content, final Consumer<StoreResult<Void>> answer) {
        call((s, a) -> s.deleteQuarantine(content, a), answer);
    }

    /**
     * Tells whether a call of another VM may be passed on to the store. While the store does not
     * answer this VM, one call after each pause finds out whether it does again.
     *
     * @return false if the call would be made in vain
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

    /** Notes that the store answered a call of another VM. */
    public void onRelayed() {
        onStoreAnswered();
    }

    /**
     * Notes that the store did not answer a call of another VM.
     *
     * @param detail what was seen
     */
    public void onRelayFailed(final String detail) {
        onStoreFailed(detail);
    }

    private <T> void call(final Call<T> call, final Consumer<StoreResult<T>> answer) {
        final List<Store> others = relays.get();
        if (failed && clock.millis() < retryAtMillis && !others.isEmpty()) {
            askRelay(call, others, 0, new StoreResult.Unavailable<>(false, "not asked"), answer);
            return;
        }
        final Pending<T> waiting = new Pending<>(call, answer);
        pending.add(waiting);
        call.make(store, waiting::onAnswer);
    }

    private <T> void askRelay(
            final Call<T> call,
            final List<Store> others,
            final int asked,
            final StoreResult<T> last,
            final Consumer<StoreResult<T>> answer) {
        if (asked >= others.size() || asked >= MOST_RELAYS) {
            answer.accept(last);
            return;
        }
        call.make(
                others.get(asked),
                result -> {
                    final boolean noAnswer =
                            result instanceof StoreResult.Unavailable<T>
                                    || result instanceof StoreResult.TooLarge<T>;
                    if (noAnswer) {
                        askRelay(call, others, asked + 1, result, answer);
                    } else {
                        answer.accept(result);
                    }
                });
    }

    private void onStoreFailed(final String detail) {
        retryAtMillis = clock.millis() + RETRY_MILLIS;
        if (failed) {
            return;
        }
        failed = true;
        EventLog.write(Event.STORE_REFUSES, "detail", detail, "relays", relays.get().size());
        final List<Pending<?>> waiting = new ArrayList<>(pending);
        pending.clear();
        waiting.forEach(Pending::fail);
    }

    private void onStoreAnswered() {
        if (failed) {
            failed = false;
            EventLog.write(Event.STORE_SERVES, "relays", relays.get().size());
        }
    }
}
