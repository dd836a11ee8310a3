package org.fennelstage.vm;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;

/**
 * Applies rollout orders from the store, and writes the phases that this VM determines to it.
 *
 * <p>Every VM may write; the write is conditional, so one succeeds and the others receive it by
 * their watch. Not thread-safe; confined to the event loop.
 */
final class RolloutFeed implements Follower.Listener<RolloutOrder> {

    /**
     * Rank from which on the delay of a write no longer grows: the last step of a rollout may take
     * only half a second.
     */
    private static final int MAX_RANK = 4;

    /** A phase that is to be written. */
    private record PendingPhase(String target, RolloutPhase phase) {}

    private final GatewayState state;
    private final Store store;
    private final TaskStagger<ServiceName> stagger;
    private final InstantSource wallClock;
    private final Runnable afterList;
    private final Set<ServiceName> writing = new HashSet<>();
    private final Map<ServiceName, PendingPhase> pending = new HashMap<>();
    private final Map<ServiceName, String> halted = new HashMap<>();
    private final Map<ServiceName, String> held = new HashMap<>();

    RolloutFeed(
            final GatewayState state,
            final Store store,
            final InstantSource wallClock,
            final ToIntFunction<String> rankFor,
            final Runnable afterList) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock is null");
        this.stagger = new TaskStagger<>(rankFor, MAX_RANK, state.clock());
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
    }

    @Override
    public void onAll(final List<StoredValue<RolloutOrder>> values) {
        values.forEach(this::onChange);
        afterList.run();
    }

    @Override
    public void onChange(final StoredValue<RolloutOrder> change) {
        change.value().ifPresent(this::onOrder);
    }

    @Override
    public void onPosition(final Position position) {
        state.onOrdersReadUpTo(position);
    }

    private void onOrder(final RolloutOrder order) {
        final Duration elapsed = elapsed(order);
        if (!state.canary(order.service()).onOrder(order, elapsed)) {
            return;
        }
        EventLog.write(
                Event.ROLLOUT_STATE_CHANGED,
                "service",
                order.service(),
                "target",
                order.target(),
                "phase",
                order.phase(),
                "revision",
                order.position(),
                "elapsed_ms",
                elapsed.toMillis(),
                "duration_ms",
                order.duration().toMillis());
    }

    /**
     * Returns the time since the order, limited to the duration of the rollout since wall clocks
     * may have been set.
     */
    private Duration elapsed(final RolloutOrder order) {
        final Duration sinceBegin =
                order.begunAt()
                        .map(begun -> Duration.between(begun, wallClock.instant()))
                        .orElse(Duration.ZERO);
        if (sinceBegin.isNegative()) {
            return Duration.ZERO;
        }
        return sinceBegin.compareTo(order.duration()) > 0 ? order.duration() : sinceBegin;
    }

    /** Writes the phases that are due. Called a few times a second. */
    void writeDue() {
        state.canaries().forEach(this::writeDue);
    }

    private void writeDue(final ServiceName service, final Canary canary) {
        final Optional<RolloutPhase> phase = canary.phaseToWrite();
        logDecisions(service, canary);
        if (phase.isEmpty()) {
            pending.remove(service);
            stagger.clear(service);
            return;
        }
        final String target = canary.order().orElseThrow().target();
        final boolean urgent =
                phase.get() == RolloutPhase.ROLLED_BACK && !canary.rewritesLostPhase();
        final boolean allowed = urgent || mayWrite(service, new PendingPhase(target, phase.get()));
        if (allowed && writing.add(service)) {
            write(service, canary, phase.get());
        }
    }

    private void logDecisions(final ServiceName service, final Canary canary) {
        if (canary.isHaltedHere()) {
            logOnce(Event.ROLLOUT_HALTED, halted, service, canary);
        }
        if (canary.isHeld()) {
            logOnce(Event.ROLLOUT_HELD, held, service, canary);
        }
    }

    /** Logs a decision on the present order of a service unless it was logged before. */
    private static void logOnce(
            final Event event,
            final Map<ServiceName, String> logged,
            final ServiceName service,
            final Canary canary) {
        final String target = canary.order().orElseThrow().target();
        if (!target.equals(logged.put(service, target))) {
            EventLog.write(
                    event,
                    "service",
                    service,
                    "target",
                    target,
                    "elapsed_ms",
                    canary.elapsed().toMillis(),
                    "evidence",
                    canary.evidence());
        }
    }

    /**
     * Returns whether this VM may write a phase now. Writes are staggered, since all VMs determine
     * most phases at the same time. A halt is urgent and determined by few VMs, so it is not
     * staggered, unless a restored store lost it: then all VMs write it again.
     */
    private boolean mayWrite(final ServiceName service, final PendingPhase current) {
        if (!current.equals(pending.put(service, current))) {
            stagger.clear(service);
        }
        return stagger.mayAct(service, current.target());
    }

    private void write(final ServiceName service, final Canary canary, final RolloutPhase phase) {
        final RolloutOrder order = canary.order().orElseThrow();
        final Instant begunAt = wallClock.instant().minus(canary.elapsed());
        store.writePhase(order, phase, begunAt, result -> onWritten(service, phase, result));
        EventLog.write(
                Event.ROLLOUT_STATE_WRITTEN,
                "service",
                service,
                "target",
                order.target(),
                "phase",
                phase,
                "revision",
                order.position(),
                "again",
                canary.rewritesLostPhase(),
                "reason",
                canary.evidence());
    }

    private void onWritten(
            final ServiceName service, final RolloutPhase phase, final StoreResult<Void> result) {
        writing.remove(service);
        if (result instanceof StoreResult.Unavailable<Void> unavailable) {
            EventLog.write(
                    Event.WRITE_FAILED,
                    "service",
                    service,
                    "phase",
                    phase,
                    "detail",
                    unavailable.detail());
        }
    }
}
