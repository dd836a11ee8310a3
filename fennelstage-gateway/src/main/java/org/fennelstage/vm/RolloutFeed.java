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
import org.fennelstage.gateway.Beliefs;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;

/**
 * Brings orders to roll versions out into the canaries, and what the canaries find into the store.
 *
 * <p>Every VM may write; the write is conditional, so one of them wins and the others learn of it
 * from their watch. Confined to the event loop.
 */
final class RolloutFeed implements Follower.Listener<RolloutOrder> {

    /** Turns waited for at most: a roll-out's last part may be half a second long. */
    private static final int MOST_TURNS = 4;

    /** A phase that is to be written. */
    private record Due(String target, RolloutPhase phase) {}

    private final Beliefs beliefs;
    private final Store store;
    private final Turns<ServiceName> turns;
    private final InstantSource wallClock;
    private final Runnable afterList;
    private final Set<ServiceName> writing = new HashSet<>();
    private final Map<ServiceName, Due> due = new HashMap<>();

    RolloutFeed(
            final Beliefs beliefs,
            final Store store,
            final InstantSource wallClock,
            final ToIntFunction<String> turnAt,
            final Runnable afterList) {
        this.beliefs = Objects.requireNonNull(beliefs, "beliefs is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock is null");
        this.turns = new Turns<>(turnAt, MOST_TURNS, beliefs.clock());
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
    }

    @Override
    public void onAll(final List<StoredValue<RolloutOrder>> values) {
        values.forEach(this::onChange);
        afterList.run();
    }

    @Override
    public void onChange(final StoredValue<RolloutOrder> change) {
        change.value().ifPresent(this::take);
    }

    @Override
    public void onPosition(final Position position) {
        beliefs.onOrdersKnownTo(position);
    }

    private void take(final RolloutOrder order) {
        final Duration elapsed = elapsed(order);
        if (!beliefs.canary(order.service()).onOrder(order, elapsed)) {
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

    /** The time of day may have been set since; the result is kept within the roll-out's time. */
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

    /** Writes what is due. To be called a few times a second. */
    void writeDue() {
        beliefs.canaries().forEach(this::writeDue);
    }

    private void writeDue(final ServiceName service, final Canary canary) {
        final Optional<RolloutPhase> phase = canary.phaseToWrite();
        if (phase.isEmpty()) {
            due.remove(service);
            turns.forget(service);
            return;
        }
        final String target = canary.order().orElseThrow().target();
        final boolean urgent =
                phase.get() == RolloutPhase.ROLLED_BACK && !canary.rewritesLostPhase();
        final boolean ownTurn = urgent || isOwnTurn(service, new Due(target, phase.get()));
        if (ownTurn && writing.add(service)) {
            write(service, canary, phase.get());
        }
    }

    /**
     * Lets one VM after the other write what all of them find due at the same time; each write is
     * paid for, and all but one would be in vain. A halt is found by few, and is urgent; one that
     * the store lost when it came back from an older copy is known to all.
     */
    private boolean isOwnTurn(final ServiceName service, final Due now) {
        if (!now.equals(due.put(service, now))) {
            turns.forget(service);
        }
        return turns.isOwn(service, now.target());
    }

    private void write(final ServiceName service, final Canary canary, final RolloutPhase phase) {
        final RolloutOrder order = canary.order().orElseThrow();
        final Instant begunAt = wallClock.instant().minus(canary.elapsed());
        store.writePhase(order, phase, begunAt, answer -> onWritten(service, phase, answer));
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
            final ServiceName service, final RolloutPhase phase, final StoreResult<Void> answer) {
        writing.remove(service);
        if (answer instanceof StoreResult.Unavailable<Void> unavailable) {
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
