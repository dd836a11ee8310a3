package org.fennelstage.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.time.MonotonicClock;

/**
 * The workers that may get requests.
 *
 * <p>While the store is away, workers cannot renew their entries, and the store drops entries of
 * workers that are well. Taken at its word on its return, the store would empty the table: all
 * requests would be rejected until the workers have registered again. So an entry that vanishes
 * around an outage stays until {@link #LAPSE_GRACE_MILLIS} after the store's return, and is dropped
 * then unless it came back. At any other time a vanished entry is dropped at once; also after a
 * call that failed on the way while the store itself was well, since its workers could renew their
 * entries all the time. Taken for an outage, a lost way lets a worker that has left get requests
 * for as long as the grace.
 *
 * <p>A store that comes back from an older copy says less and other than it did: entries written
 * since are missing until their workers write again, which is as if they had lapsed, and workers
 * that have left are back; see {@link Departures}.
 *
 * <p>Invariant: a worker that is leaving or dropped is in no result of {@link #usable}. Not
 * thread-safe.
 */
public final class ServerTable {

    /**
     * How long after the store's return a vanished entry is kept; milliseconds. Workers that live
     * are back about two seconds after the return; the rest is for the watch's delay.
     */
    static final long LAPSE_GRACE_MILLIS = 2_200;

    /**
     * How long the store must have been away for entries to have lapsed; milliseconds. Workers
     * renew about once a second and lapse after three failures; a shorter interruption drops none,
     * and what vanishes after it is gone.
     */
    static final long LAPSE_NEEDS_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final Map<BackendServerId, TrackedServer> servers = new LinkedHashMap<>();
    private final Set<BackendServerId> vanished = new HashSet<>();
    private final Map<ServiceName, List<TrackedServer>> usable = new HashMap<>();
    private final Map<DataCentreId, Reachability> dataCentres = new HashMap<>();
    private final LapsedServers lapsed = LapsedServers.empty();
    private final Births births = Births.empty();
    private final Departures departures;
    private Consumer<TrackedServer> restartListener = former -> {};
    private boolean doubted;
    private boolean storeAway;
    private long awaySinceMillis;
    private long graceUntilMillis = Long.MIN_VALUE;

    private ServerTable(final MonotonicClock clock) {
        this.clock = clock;
        this.departures = Departures.of(clock);
    }

    /**
     * Returns an empty table.
     *
     * @param clock the clock
     * @return the table
     */
    public static ServerTable of(final MonotonicClock clock) {
        return new ServerTable(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Sets what runs when a worker has started again under its id, with the state of its former
     * life, which the table has dropped.
     *
     * @param listener takes the former state
     */
    public void onRestart(final Consumer<TrackedServer> listener) {
        restartListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Adds a worker or replaces its entry.
     *
     * <p>An entry of an incarnation that has ended may come late: a write that was under way when
     * its worker crashed, a stale read. Taken at its word it would bring back an address where
     * nobody listens, or mark the restarted worker as leaving.
     *
     * @param entry the entry
     * @return false if it speaks of an incarnation that has ended, and was passed over
     */
    public boolean put(final ServerEntry entry) {
        if (!births.offer(entry.incarnation())) {
            return false;
        }
        believe(departures.judge(entry));
        return true;
    }

    private void believe(final ServerEntry entry) {
        vanished.remove(entry.id());
        usable.clear();
        final TrackedServer known = servers.get(entry.id());
        if (known != null && known.entry().incarnation().equals(entry.incarnation())) {
            known.update(entry);
            return;
        }
        final Reachability reachability =
                dataCentres.computeIfAbsent(entry.dataCentre(), dc -> Reachability.of(clock));
        final Optional<TrackedServer> before = lapsed.take(entry.incarnation());
        before.ifPresent(server -> server.update(entry));
        servers.put(
                entry.id(), before.orElseGet(() -> TrackedServer.of(entry, clock, reachability)));
        if (known != null) {
            known.onRestarted();
            restartListener.accept(known);
        }
    }

    /**
     * Notes that a worker said in an answer that it leaves, to this VM or to another.
     *
     * @param incarnation the worker and which of its lives
     * @return false if that was known already
     */
    public boolean onDraining(final Incarnation incarnation) {
        if (!departures.onOwnWord(incarnation)) {
            return false;
        }
        find(incarnation.server())
                .map(TrackedServer::entry)
                .filter(entry -> entry.incarnation().equals(incarnation))
                .ifPresent(entry -> believe(departures.judge(entry)));
        return true;
    }

    /**
     * Drops a worker whose entry cannot be understood any more, at once: whoever wrote that, the
     * entry names no worker to use, also while entries that merely vanished are kept.
     *
     * @param id the worker
     */
    public void removeInvalid(final BackendServerId id) {
        drop(id);
    }

    /**
     * Notes that a worker's entry is gone.
     *
     * @param id the worker
     */
    public void remove(final BackendServerId id) {
        if (storeAway || clock.millis() < graceUntilMillis) {
            if (servers.containsKey(id)) {
                vanished.add(id);
            }
            return;
        }
        drop(id);
    }

    /**
     * Takes a complete list of the entries.
     *
     * @param entries all of them
     */
    public void replaceAll(final Collection<ServerEntry> entries) {
        final Set<BackendServerId> present = new HashSet<>();
        for (final ServerEntry entry : entries) {
            present.add(entry.id());
            put(entry);
        }
        for (final BackendServerId id : List.copyOf(servers.keySet())) {
            if (!present.contains(id)) {
                remove(id);
            }
        }
    }

    /** Notes that a call failed: the store may be away, or only the way to it. */
    public void onStoreCallFailed() {
        if (!doubted && !storeAway) {
            awaySinceMillis = clock.millis();
        }
        doubted = true;
    }

    /** Notes that the store cannot be reached; since the first call that failed, if one did. */
    public void onStoreUnavailable() {
        onStoreCallFailed();
        storeAway = true;
    }

    /**
     * Tells whether the store cannot be reached, so that nothing is heard of workers.
     *
     * @return true from the first list that failed to the first answer
     */
    public boolean isStoreUnavailable() {
        return storeAway;
    }

    /** Notes that the store answers again. */
    public void onStoreAvailable() {
        final long awayMillis = clock.millis() - awaySinceMillis;
        if (storeAway && awayMillis >= LAPSE_NEEDS_MILLIS) {
            graceUntilMillis = clock.millis() + LAPSE_GRACE_MILLIS;
        }
        doubted = false;
        storeAway = false;
    }

    /**
     * Notes that the store has come back from an older copy: entries that it lost get the time to
     * be written again, and what it says of workers that left is doubted for a while.
     */
    public void onStoreRestored() {
        graceUntilMillis = clock.millis() + LAPSE_GRACE_MILLIS;
        departures.onStoreRestored();
    }

    /**
     * Drops entries whose grace is over, and believes those that were doubted and are still there.
     * To be called a few times a second.
     *
     * @return the workers dropped
     */
    public List<BackendServerId> removeExpired() {
        Optional<ServerEntry> believed = departures.believed();
        while (believed.isPresent()) {
            believe(departures.judge(believed.get()));
            believed = departures.believed();
        }
        if (storeAway || vanished.isEmpty() || clock.millis() < graceUntilMillis) {
            return List.of();
        }
        final List<BackendServerId> dropped = new ArrayList<>(vanished);
        dropped.forEach(this::drop);
        return dropped;
    }

    /**
     * Returns the workers of a service that may get new requests.
     *
     * @param service the service
     * @return the workers, in the order of their registration
     */
    public List<TrackedServer> usable(final ServiceName service) {
        return usable.computeIfAbsent(service, this::collect);
    }

    /**
     * Finds a worker.
     *
     * @param id its id
     * @return the worker, empty if it is not in the table
     */
    public Optional<TrackedServer> find(final BackendServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Returns all workers, leaving ones included.
     *
     * @return the workers, not to be changed
     */
    public Collection<TrackedServer> all() {
        return Collections.unmodifiableCollection(servers.values());
    }

    /**
     * Returns the number of workers, leaving ones included.
     *
     * @return the count
     */
    public int size() {
        return servers.size();
    }

    private List<TrackedServer> collect(final ServiceName service) {
        final List<TrackedServer> result = new ArrayList<>();
        for (final TrackedServer server : servers.values()) {
            if (server.entry().service().equals(service) && !server.entry().draining()) {
                result.add(server);
            }
        }
        return result;
    }

    private void drop(final BackendServerId id) {
        vanished.remove(id);
        final TrackedServer dropped = servers.remove(id);
        if (dropped != null) {
            departures.onGone(dropped.entry().incarnation());
            lapsed.keep(dropped);
        }
        usable.clear();
    }
}
