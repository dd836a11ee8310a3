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
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.history.Position;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * The store as one VM of the data centre reaches it for all of them, and the store itself while
 * that VM fails.
 *
 * <p>Each call to the store is paid for, and each change ends a watch of every VM that watches by
 * itself. All VMs of a data centre therefore ask the same VM, which makes calls that are alike only
 * once. The answers are the store's own, so nothing has to be reconciled.
 *
 * <p>A VM that stands still or is cut off answers nothing and breaks no connection; those that
 * depend on it would miss what the store tells everybody else. The watch on the configuration is
 * therefore kept short through another VM: when it is not answered in time, that VM is left out and
 * all other calls that wait for it fail at once. A VM that only cannot carry an answer to all who
 * asked is well: taken for one that fails, each change of a large configuration would make all VMs
 * leave it and list anew at the next, and the configuration would be old for longer than it may be.
 * Invariant: every call gets exactly one answer. Confined to one event loop.
 */
public final class CoalescedStore implements Store {

    /**
     * What is left of the time that news may take, when the watch on the configuration through
     * another VM ends unanswered: 0.8 s until that shows, some hundred milliseconds to list anew,
     * and as much again.
     */
    private static final Duration RESERVE = Duration.ofMillis(1_300);

    /** Below this the watch would cost more calls than it saves. */
    private static final Duration SHORTEST_WATCH = Duration.ofMillis(500);

    /** How long a VM that failed is not asked; milliseconds. Restarts and freezes take seconds. */
    static final long PAUSE_MILLIS = 5_000;

    /** How often in a row the pause doubles for a VM that never answers; it may be gone. */
    private static final int MOST_DOUBLINGS = 4;

    /**
     * How long lists are asked of the store itself after a VM kept silent or could not carry an
     * answer to all; milliseconds. After a silence most of the time that news may take is spent
     * then, and the next VM may be as silent: a cut takes many at once. Asked of it, the list could
     * wait for another time-out, longer in all than news may take.
     */
    static final long DIRECT_MILLIS = 1_000;

    /** A watch that waits at another VM. */
    private final class Watch<T> {
        private final Store relay;
        private final long endsAtMillis;
        private final Consumer<StoreResult<Page<T>>> answer;

        private Watch(
                final Store relay,
                final Duration wait,
                final Consumer<StoreResult<Page<T>>> answer) {
            this.relay = relay;
            this.endsAtMillis = clock.millis() + wait.toMillis();
            this.answer = answer;
        }

        private void onAnswer(final StoreResult<Page<T>> result) {
            if (!watches.remove(this)) {
                return;
            }
            if (result instanceof StoreResult.TooLarge<Page<T>>) {
                askStoreForLists();
            }
            if (result instanceof StoreResult.Unavailable<Page<T>> unavailable) {
                if (clock.millis() >= endsAtMillis) {
                    askStoreForLists();
                }
                onFailed(relay, unavailable.detail());
            } else {
                failures.remove(relay);
            }
            answer.accept(result);
        }

        private void fail() {
            answer.accept(new StoreResult.Unavailable<>(false, "the VM that was asked failed"));
        }
    }

    private final Store direct;
    private final Supplier<List<Store>> relays;
    private final MonotonicClock clock;
    private final Supplier<Duration> newsDelay;
    private final Set<Watch<?>> watches = new LinkedHashSet<>();
    private final Map<Store, Long> pausedUntilMillis = new HashMap<>();
    private final Map<Store, Integer> failures = new HashMap<>();
    private long directUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the store.
     *
     * @param direct the store as this VM reaches it by itself
     * @param relays the store as VMs of the data centre reach it, in an order on which all of them
     *     agree; empty while each VM is to ask by itself
     * @param newsDelay how long news from the store may take to reach this VM
     * @param clock the clock
     */
    public CoalescedStore(
            final Store direct,
            final Supplier<List<Store>> relays,
            final Supplier<Duration> newsDelay,
            final MonotonicClock clock) {
        this.direct = Objects.requireNonNull(direct, "direct is null");
        this.relays = Objects.requireNonNull(relays, "relays is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.newsDelay = Objects.requireNonNull(newsDelay, "newsDelay is null");
    }

    @Override
    public <T> void list(
            final StoreKind<T> kind,
            final Optional<String> after,
            final Consumer<StoreResult<Page<T>>> answer) {
        final Optional<Store> relay =
                clock.millis() < directUntilMillis ? Optional.empty() : relay();
        if (relay.isEmpty()) {
            direct.list(kind, after, answer);
            return;
        }
        relay.get()
                .list(
                        kind,
                        after,
                        result -> {
                            if (result instanceof StoreResult.Unavailable<Page<T>> unavailable) {
                                onFailed(relay.get(), unavailable.detail());
                                direct.list(kind, after, answer);
                            } else if (result instanceof StoreResult.TooLarge<Page<T>>) {
                                direct.list(kind, after, answer);
                            } else {
                                failures.remove(relay.get());
                                answer.accept(result);
                            }
                        });
    }

    @Override
    public <T> void listStale(
            final StoreKind<T> kind, final Consumer<StoreResult<Page<T>>> answer) {
        direct.listStale(kind, answer);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A watch that fails at another VM is not made again at the store: one that follows a cut at
     * once may be deaf to what changed before it, so its caller has to list anew.
     */
    @Override
    public <T> void watch(
            final StoreKind<T> kind,
            final Position since,
            final Duration wait,
            final Consumer<StoreResult<Page<T>>> answer) {
        final Optional<Store> relay = relay();
        if (relay.isEmpty()) {
            direct.watch(kind, since, wait, answer);
            return;
        }
        final Duration relayed = kind.equals(StoreKind.CONFIGURATION) ? livenessWatch() : wait;
        final Watch<T> watch = new Watch<>(relay.get(), relayed, answer);
        watches.add(watch);
        relay.get().watch(kind, since, relayed, watch::onAnswer);
    }

    @Override
    public void writePhase(
            final RolloutOrder order,
            final RolloutPhase phase,
            final Instant begunAt,
            final Consumer<StoreResult<Void>> answer) {
        direct.writePhase(order, phase, begunAt, answer);
    }

    @Override
    public void writeVm(final VmEntry entry, final Consumer<StoreResult<Void>> answer) {
        direct.writeVm(entry, answer);
    }

    @Override
    public void writeQuarantine(
            final Fingerprint content, final Consumer<StoreResult<Void>> answer) {
        direct.writeQuarantine(content, answer);
    }

    @Override
    public void deleteQuarantine(
            final Fingerprint content, final Consumer<StoreResult<Void>> answer) {
        direct.deleteQuarantine(content, answer);
    }

    private Duration livenessWatch() {
        final Duration longest = newsDelay.get().minus(RESERVE);
        return longest.compareTo(SHORTEST_WATCH) < 0 ? SHORTEST_WATCH : longest;
    }

    private Optional<Store> relay() {
        final long now = clock.millis();
        return relays.get().stream()
                .filter(r -> pausedUntilMillis.getOrDefault(r, Long.MIN_VALUE) <= now)
                .findFirst();
    }

    private void askStoreForLists() {
        directUntilMillis = clock.millis() + DIRECT_MILLIS;
    }

    private void onFailed(final Store relay, final String detail) {
        final int before = failures.merge(relay, 1, Integer::sum) - 1;
        final long pause = PAUSE_MILLIS << Math.min(before, MOST_DOUBLINGS);
        pausedUntilMillis.put(relay, clock.millis() + pause);
        forgetVmsThatAreGone();
        EventLog.write(Event.RELAY_FAILED, "relay", relay, "detail", detail, "pause_ms", pause);
        final List<Watch<?>> waiting = new ArrayList<>(watches);
        for (final Watch<?> watch : waiting) {
            if (watch.relay.equals(relay) && watches.remove(watch)) {
                watch.fail();
            }
        }
    }

    private void forgetVmsThatAreGone() {
        final Set<Store> present = Set.copyOf(relays.get());
        pausedUntilMillis.keySet().retainAll(present);
        failures.keySet().retainAll(present);
    }
}
