package org.fennelstage.store;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
 * Routes lists and watches through one VM of the data centre, the relay, and falls back to direct
 * calls when the relay fails.
 *
 * <p>Calls to the store cost money, and each change ends the watch of every VM that watches the
 * store directly. All VMs of a data centre therefore call the same relay, which merges equal calls
 * into one.
 *
 * <p>A VM that hangs or is partitioned neither responds nor closes its connections. The watch on
 * the configuration is therefore kept short when it goes through a relay: if it times out, the
 * relay is paused and all other watches that wait for it fail at once. {@link StoreResult.TooLarge}
 * is not a failure of the relay; otherwise each change of a large configuration would make all VMs
 * switch relays and list every kind again.
 *
 * <p>Invariant: every call gets exactly one result. Not thread-safe; confined to one event loop.
 */
public final class CoalescedStore implements Store {

    /**
     * The part of the maximum propagation delay that remains after the watch on the configuration
     * ends: it covers detecting a relay that does not respond, 0.8 s, listing again, some hundred
     * milliseconds, and a margin as long as that.
     */
    private static final Duration RECOVERY_RESERVE = Duration.ofMillis(1_300);

    /** A shorter watch would cause more calls than the relay saves. */
    private static final Duration MIN_WATCH = Duration.ofMillis(500);

    /** Pause of a relay after its first failure; milliseconds. */
    static final long PAUSE_MILLIS = 5_000;

    /** Bounds the exponential growth of the pause of a relay that keeps failing. */
    private static final int MAX_DOUBLINGS = 4;

    /**
     * How long lists go directly to the store after a relay timed out or returned {@link
     * StoreResult.TooLarge}; milliseconds. A partition may affect several relays at once, and a
     * second timeout would exceed the maximum propagation delay.
     */
    static final long DIRECT_MILLIS = 1_000;

    /** A pending watch at a relay. */
    private final class Watch<T> {
        private final Store relay;
        private final long endsAtMillis;
        private final Consumer<StoreResult<Page<T>>> callback;

        private Watch(
                final Store relay,
                final Duration wait,
                final Consumer<StoreResult<Page<T>>> callback) {
            this.relay = relay;
            this.endsAtMillis = clock.millis() + wait.toMillis();
            this.callback = callback;
        }

        private void onResult(final StoreResult<Page<T>> result) {
            if (!watches.remove(this)) {
                return;
            }
            if (result instanceof StoreResult.TooLarge<Page<T>>) {
                useStoreForLists();
            }
            if (result instanceof StoreResult.Unavailable<Page<T>> unavailable) {
                if (clock.millis() >= endsAtMillis) {
                    useStoreForLists();
                }
                onFailed(relay, unavailable.detail());
            } else {
                failures.remove(relay);
            }
            callback.accept(result);
        }

        private void fail() {
            callback.accept(
                    new StoreResult.Unavailable<>(false, "another call to the same relay failed"));
        }
    }

    private final Store direct;
    private final Supplier<List<Store>> relays;
    private final MonotonicClock clock;
    private final Supplier<Duration> maxPropagationDelay;
    private final Set<Watch<?>> watches = new LinkedHashSet<>();
    private final Map<Store, Long> pausedUntilMillis = new HashMap<>();
    private final Map<Store, Integer> failures = new HashMap<>();
    private long directUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the store.
     *
     * @param direct calls the store directly
     * @param relays call the store through VMs of the data centre, in an order on which all of its
     *     VMs agree; empty if each VM is to call the store directly
     * @param maxPropagationDelay the longest time until this VM applies a change of the
     *     configuration
     * @param clock the clock
     */
    public CoalescedStore(
            final Store direct,
            final Supplier<List<Store>> relays,
            final Supplier<Duration> maxPropagationDelay,
            final MonotonicClock clock) {
        this.direct = Objects.requireNonNull(direct, "direct is null");
        this.relays = Objects.requireNonNull(relays, "relays is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.maxPropagationDelay =
                Objects.requireNonNull(maxPropagationDelay, "maxPropagationDelay is null");
    }

    @Override
    public <T> void list(
            final StoreKind<T> kind,
            final Optional<String> after,
            final Consumer<StoreResult<Page<T>>> callback) {
        final Optional<Store> relay =
                clock.millis() < directUntilMillis ? Optional.empty() : relay();
        if (relay.isEmpty()) {
            direct.list(kind, after, callback);
            return;
        }
        relay.get()
                .list(
                        kind,
                        after,
                        result -> {
                            if (result instanceof StoreResult.Unavailable<Page<T>> unavailable) {
                                onFailed(relay.get(), unavailable.detail());
                                direct.list(kind, after, callback);
                            } else if (result instanceof StoreResult.TooLarge<Page<T>>) {
                                direct.list(kind, after, callback);
                            } else {
                                failures.remove(relay.get());
                                callback.accept(result);
                            }
                        });
    }

    @Override
    public <T> void listStale(
            final StoreKind<T> kind, final Consumer<StoreResult<Page<T>>> callback) {
        direct.listStale(kind, callback);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A watch that fails at a relay is not repeated at the store: it could miss changes made
     * before it started, so the code that called has to list again.
     */
    @Override
    public <T> void watch(
            final StoreKind<T> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<Page<T>>> callback) {
        final Optional<Store> relay = relay();
        if (relay.isEmpty()) {
            direct.watch(kind, since, wait, callback);
            return;
        }
        final Duration relayedWait =
                kind.equals(StoreKind.CONFIGURATION) ? configurationWatchTime() : wait;
        final Watch<T> watch = new Watch<>(relay.get(), relayedWait, callback);
        watches.add(watch);
        relay.get().watch(kind, since, relayedWait, watch::onResult);
    }

    @Override
    public void writePhase(
            final RolloutOrder order,
            final RolloutPhase phase,
            final Instant begunAt,
            final Consumer<StoreResult<Void>> callback) {
        direct.writePhase(order, phase, begunAt, callback);
    }

    @Override
    public void writeVm(final VmEntry entry, final Consumer<StoreResult<Void>> callback) {
        direct.writeVm(entry, callback);
    }

    @Override
    public void writeQuarantine(
            final QuarantineEntry entry, final Consumer<StoreResult<Void>> callback) {
        direct.writeQuarantine(entry, callback);
    }

    @Override
    public void deleteQuarantine(
            final QuarantineEntry entry, final Consumer<StoreResult<Void>> callback) {
        direct.deleteQuarantine(entry, callback);
    }

    private Duration configurationWatchTime() {
        final Duration watchTime = maxPropagationDelay.get().minus(RECOVERY_RESERVE);
        return watchTime.compareTo(MIN_WATCH) < 0 ? MIN_WATCH : watchTime;
    }

    private Optional<Store> relay() {
        final long now = clock.millis();
        return relays.get().stream()
                .filter(r -> pausedUntilMillis.getOrDefault(r, Long.MIN_VALUE) <= now)
                .findFirst();
    }

    private void useStoreForLists() {
        directUntilMillis = clock.millis() + DIRECT_MILLIS;
    }

    private void onFailed(final Store relay, final String detail) {
        final int priorFailures = failures.merge(relay, 1, Integer::sum) - 1;
        final long pause = PAUSE_MILLIS << Math.min(priorFailures, MAX_DOUBLINGS);
        pausedUntilMillis.put(relay, clock.millis() + pause);
        removeAbsentRelays();
        EventLog.write(Event.RELAY_FAILED, "relay", relay, "detail", detail, "pause_ms", pause);
        final List<Watch<?>> waiting = new ArrayList<>(watches);
        for (final Watch<?> watch : waiting) {
            if (watch.relay.equals(relay) && watches.remove(watch)) {
                watch.fail();
            }
        }
    }

    private void removeAbsentRelays() {
        final Set<Store> present = Set.copyOf(relays.get());
        pausedUntilMillis.keySet().retainAll(present);
        failures.keySet().retainAll(present);
    }
}
