package org.fennelstage.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.time.MonotonicClock;

/**
 * Which workers said that they leave, or left, and what an older copy of the store says of them.
 *
 * <p>A copy that is some seconds old still calls a worker ready that has left since. Taken at its
 * word, requests would go to a worker that is about to stop, or to an address where nobody listens,
 * long after this VM was told of its leaving. So for a while after the store's return the word that
 * a worker leaves goes before the store's. The while ends: an entry that nobody renews lapses, so
 * what is still there then belongs to a worker that lives.
 *
 * <p>A worker that leaves also says so in its answers, at once and to whom it answers, while its
 * entry may say it late: while the store is away it cannot be written for many seconds. Nobody
 * knows it better, and no worker stays after it has said so; its own word therefore goes before any
 * entry of the same incarnation, for good.
 *
 * <p>Law: but for a worker's own word and that while, what the store says is taken as it is. Not
 * thread-safe.
 */
final class Departures {

    /**
     * How long after the store's return its word may be older than this VM's; milliseconds. An
     * entry lapses after three missed renewals, 3.6 s at the usual 1.2 s, and as many go to workers
     * that need a moment to reach the store again.
     */
    static final long DOUBT_MILLIS = 6_000;

    private final MonotonicClock clock;
    private final Map<BackendServerId, Incarnation> left = RecentServers.empty();
    private final Map<BackendServerId, Incarnation> leavingByOwnWord = RecentServers.empty();

    /** Entries that the store holds for workers that left, by worker. */
    private final Map<BackendServerId, ServerEntry> doubted = new HashMap<>();

    private long doubtUntilMillis = Long.MIN_VALUE;

    private Departures(final MonotonicClock clock) {
        this.clock = clock;
    }

    static Departures of(final MonotonicClock clock) {
        return new Departures(Objects.requireNonNull(clock, "clock is null"));
    }

    /** Notes that a worker is gone. */
    void onGone(final Incarnation incarnation) {
        left.put(incarnation.server(), incarnation);
        doubted.remove(incarnation.server());
    }

    /**
     * Notes that a worker said in an answer that it leaves.
     *
     * @return false if that is known already
     */
    boolean onOwnWord(final Incarnation incarnation) {
        return !incarnation.equals(leavingByOwnWord.put(incarnation.server(), incarnation));
    }

    /** Notes that the store has come back from an older copy. */
    void onStoreRestored() {
        doubtUntilMillis = clock.millis() + DOUBT_MILLIS;
    }

    /**
     * Takes an entry of the store.
     *
     * @param entry the entry
     * @return what is to be believed of the worker: the entry, or that it leaves all the same
     */
    ServerEntry judge(final ServerEntry entry) {
        doubted.remove(entry.id());
        if (entry.incarnation().equals(leavingByOwnWord.get(entry.id()))) {
            return entry.asLeaving();
        }
        if (entry.draining()) {
            left.put(entry.id(), entry.incarnation());
            return entry;
        }
        if (!entry.incarnation().equals(left.get(entry.id()))) {
            return entry;
        }
        if (clock.millis() < doubtUntilMillis) {
            doubted.put(entry.id(), entry);
            return entry.asLeaving();
        }
        left.remove(entry.id());
        return entry;
    }

    /**
     * Returns an entry that was doubted and is to be believed now, since it is still in the store.
     *
     * @return the entry, empty if there is none or the doubt goes on
     */
    Optional<ServerEntry> believed() {
        if (doubted.isEmpty() || clock.millis() < doubtUntilMillis) {
            return Optional.empty();
        }
        return Optional.of(doubted.values().iterator().next());
    }

    @Override
    public String toString() {
        return "Departures[" + left.size() + ", doubted=" + doubted.size() + "]";
    }
}
