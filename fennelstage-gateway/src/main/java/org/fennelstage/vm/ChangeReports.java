package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.fennelstage.history.Position;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoredValue;
import org.fennelstage.store.WatchPace;

/**
 * Reports to all other VMs up to which position this VM has read changes of a kind, and reads a
 * kind again when another VM reports a change that this VM does not receive.
 *
 * <p>The VMs of a data centre read the store through one of them. If it hangs, the others notice
 * only after most of the time in which they have to apply a change. Reports of other data centres
 * do not depend on it. They hold no content: what is read comes from the store.
 *
 * <p>Invariants: a VM reads a kind again at most once for each time allowed for the regular
 * response, not if that arrives within it, and a limited number of times for each report; the
 * messages about one change do not grow with the number of VMs per data centre other than by their
 * recipients. Not thread-safe; confined to the event loop.
 */
final class ChangeReports {

    /** VMs of each data centre that report a change; one may hang or lose the message. */
    static final int REPORTERS = 2;

    /**
     * Part of the maximum propagation delay that the regular response may take after a report. A
     * relayed response may occupy the relay's link for nearly as long. The rest covers a list that
     * times out at the relay, one at the store, and slow VMs.
     */
    private static final int RESPONSE_PART = 5;

    /**
     * Number of times that a kind is read for one report. They fit into the maximum propagation
     * delay; after it the store may never return the change, and the regular calls remain.
     */
    private static final int MAX_READS = RESPONSE_PART - 1;

    /** Forwards what a follower receives, and compares its positions with the reported ones. */
    private final class Tracked<T> implements Follower.Listener<T> {
        private final StoreKind<T> kind;
        private final Follower.Listener<T> listener;
        private Runnable refresh = () -> {};
        private Position readUpTo = Position.NONE;
        private Position newestChange = Position.NONE;
        private Position newestReported = Position.NONE;
        private boolean awaitingResponse;
        private int reads;

        private Tracked(final StoreKind<T> kind, final Follower.Listener<T> listener) {
            this.kind = Objects.requireNonNull(kind, "kind is null");
            this.listener = Objects.requireNonNull(listener, "listener is null");
        }

        @Override
        public void onAll(final List<StoredValue<T>> values) {
            values.forEach(this::onRead);
            listener.onAll(values);
        }

        @Override
        public void onChange(final StoredValue<T> value) {
            onRead(value);
            listener.onChange(value);
        }

        @Override
        public void onMalformed(final StoredValue<T> value) {
            onRead(value);
            listener.onMalformed(value);
        }

        private void onRead(final StoredValue<T> value) {
            newestChange = newer(newestChange, value.position());
        }

        @Override
        public void onPosition(final Position position) {
            final boolean isChanged =
                    newestChange.isAfter(readUpTo) && !readUpTo.equals(Position.NONE);
            readUpTo = newer(readUpTo, position);
            listener.onPosition(position);
            if (isChanged && isReporter(kind, newestChange)) {
                send.accept(new PeerMessage.Changed(kind, newestChange), peers.allPeers());
            }
        }

        @Override
        public void onStoreCallFailed() {
            listener.onStoreCallFailed();
        }

        @Override
        public void onStoreUnavailable() {
            listener.onStoreUnavailable();
        }

        @Override
        public void onStoreAvailable() {
            listener.onStoreAvailable();
        }

        @Override
        public void onStoreRestored() {
            listener.onStoreRestored();
        }

        private void onReported(final Position position) {
            if (position.isAfter(newestReported)) {
                newestReported = position;
                reads = 0;
            }
            if (!awaitingResponse) {
                awaitResponse();
            }
        }

        private void awaitResponse() {
            if (newestReported.isAfter(readUpTo)) {
                awaitingResponse = true;
                final Position awaited = newestReported;
                schedule.accept(
                        () -> checkResponse(awaited),
                        maxPropagationDelay.get().dividedBy(RESPONSE_PART));
            }
        }

        private void checkResponse(final Position awaited) {
            awaitingResponse = false;
            if (awaited.isAfter(readUpTo)) {
                EventLog.write(
                        Event.REPORTED_CHANGE_MISSING,
                        "kind",
                        kind,
                        "has",
                        readUpTo,
                        "reported",
                        awaited);
                reads++;
                refresh.run();
            }
            // The read may fail or return an older state, and changes reported meanwhile have not
            // had the whole time yet.
            if (reads < MAX_READS) {
                awaitResponse();
            }
        }
    }

    private final VmId own;
    private final Peers peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final BiConsumer<Runnable, Duration> schedule;
    private final Supplier<Duration> maxPropagationDelay;
    private final Map<StoreKind<?>, Tracked<?>> tracked = new HashMap<>();

    /**
     * Creates reports of no kind.
     *
     * @param own this VM
     * @param peers the VMs
     * @param send sends messages to other VMs
     * @param schedule runs an action after a time
     * @param maxPropagationDelay the longest time until this VM applies a change
     */
    ChangeReports(
            final VmId own,
            final Peers peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final BiConsumer<Runnable, Duration> schedule,
            final Supplier<Duration> maxPropagationDelay) {
        this.own = Objects.requireNonNull(own, "own is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.schedule = Objects.requireNonNull(schedule, "schedule is null");
        this.maxPropagationDelay =
                Objects.requireNonNull(maxPropagationDelay, "maxPropagationDelay is null");
    }

    /**
     * Returns a follower of a kind whose changes are reported; it makes no call before its start.
     */
    <T> Follower<T> follow(
            final StoreWatches watches,
            final StoreKind<T> kind,
            final Supplier<WatchPace> pace,
            final Follower.Listener<T> listener) {
        final Tracked<T> trackedKind = new Tracked<>(kind, listener);
        tracked.put(kind, trackedKind);
        final Follower<T> follower = watches.of(kind, pace, trackedKind);
        trackedKind.refresh = follower::refresh;
        return follower;
    }

    /** Handles the report of another VM. */
    void onReported(final PeerMessage.Changed changed) {
        Optional.ofNullable(tracked.get(changed.kind()))
                .ifPresent(kind -> kind.onReported(changed.position()));
    }

    private boolean isReporter(final StoreKind<?> kind, final Position position) {
        final String task = "change of " + kind + " at " + position;
        return peers.rankedInDataCentre(task).stream().limit(REPORTERS).anyMatch(own::equals);
    }

    private static Position newer(final Position one, final Position other) {
        return other.isAfter(one) ? other : one;
    }
}
