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
 * The backend servers that may get requests.
 *
 * <p>While the store is unavailable, backend servers cannot renew their entries, and the store
 * expires entries of running servers. To avoid rejecting all requests after an outage, an entry
 * that is missing then is kept until {@link #EXPIRY_GRACE_MILLIS} after the store is available
 * again, and removed only if it was not written again. At any other time a missing entry is removed
 * at once, also after a failed call that was no outage, since backend servers could renew their
 * entries during that time.
 *
 * <p>A store that was restored from an older copy lacks later entries until their backend servers
 * write again, which is handled like expiry. It may also list servers that have drained or stopped;
 * see {@link DrainOverrides}.
 *
 * <p>Other VMs report departures, since the entry that shows one may reach this VM late, for
 * example if its store calls hang. A departure overrides entries up to its position.
 *
 * <p>Invariant: a backend server that is draining or removed is in no result of {@link #usable}.
 * Not thread-safe.
 */
public final class ServerTable {

    /**
     * How long a missing entry is kept after an outage; milliseconds. Running backend servers
     * register again within about two seconds; the rest covers the delay of the watch.
     */
    static final long EXPIRY_GRACE_MILLIS = 2_200;

    /**
     * Shortest outage in which entries can expire; milliseconds. Backend servers renew about once a
     * second and expire after three failures, so a shorter interruption expires none.
     */
    static final long MIN_OUTAGE_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final MonotonicClock listening;
    private final Map<BackendServerId, TrackedServer> servers = new LinkedHashMap<>();
    private final Set<BackendServerId> missing = new HashSet<>();
    private final Map<ServiceName, List<TrackedServer>> usable = new HashMap<>();
    private final Map<DataCentreId, Reachability> dataCentres = new HashMap<>();
    private final ExpiredServers expired = ExpiredServers.empty();
    private final LatestIncarnations latestIncarnations = LatestIncarnations.empty();
    private final DrainOverrides drainOverrides;
    private final Map<BackendServerId, Departure> departures = RecentServers.empty();
    private Consumer<TrackedServer> restartListener = former -> {};
    private boolean callFailed;
    private boolean storeUnavailable;
    private long firstFailureMillis;
    private long graceUntilMillis = Long.MIN_VALUE;

    private ServerTable(final MonotonicClock clock, final MonotonicClock listening) {
        this.clock = clock;
        this.listening = listening;
        this.drainOverrides = DrainOverrides.of(clock);
    }

    /**
     * Returns an empty table.
     *
     * @param clock the clock
     * @return the table
     */
    public static ServerTable of(final MonotonicClock clock) {
        return of(clock, clock);
    }

    /**
     * Returns an empty table.
     *
     * @param clock the clock
     * @param listening measures the silence of backend servers
     * @return the table
     */
    public static ServerTable of(final MonotonicClock clock, final MonotonicClock listening) {
        return new ServerTable(
                Objects.requireNonNull(clock, "clock is null"),
                Objects.requireNonNull(listening, "listening is null"));
    }

    /**
     * Sets the listener for restarts of backend servers under the same id.
     *
     * @param listener called with the state of the former incarnation, which the table has removed
     */
    public void onRestart(final Consumer<TrackedServer> listener) {
        restartListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Adds a backend server or replaces its entry.
     *
     * <p>An entry of a former incarnation may arrive late, from a delayed write or a stale read. It
     * is ignored, since it may have an outdated address or mark a restarted server as draining.
     *
     * @param entry the entry
     * @return false if it belongs to a former incarnation and was ignored
     */
    public boolean put(final ServerEntry entry) {
        if (!latestIncarnations.accept(entry.incarnation())) {
            return false;
        }
        final Departure departure = departures.get(entry.id());
        final boolean departed = departure != null && departure.overrides(entry);
        addOrUpdate(drainOverrides.apply(departed ? entry.asDraining() : entry));
        return true;
    }

    private void addOrUpdate(final ServerEntry entry) {
        missing.remove(entry.id());
        usable.clear();
        final TrackedServer known = servers.get(entry.id());
        if (known != null && known.entry().incarnation().equals(entry.incarnation())) {
            known.update(entry);
            return;
        }
        final Reachability reachability =
                dataCentres.computeIfAbsent(entry.dataCentre(), dc -> Reachability.of(listening));
        final Optional<TrackedServer> before = expired.take(entry.incarnation());
        before.ifPresent(server -> server.update(entry));
        servers.put(
                entry.id(),
                before.orElseGet(() -> TrackedServer.of(entry, clock, listening, reachability)));
        if (known != null) {
            known.onRestarted();
            restartListener.accept(known);
        }
    }

    /**
     * Records that a backend server reported in a response, to this VM or to another, that it is
     * draining.
     *
     * @param incarnation the backend server and its process lifetime
     * @return false if this was already known
     */
    public boolean onDraining(final Incarnation incarnation) {
        if (!drainOverrides.onDrainingReported(incarnation)) {
            return false;
        }
        find(incarnation.server())
                .map(TrackedServer::entry)
                .filter(entry -> entry.incarnation().equals(incarnation))
                .ifPresent(entry -> addOrUpdate(drainOverrides.apply(entry)));
        return true;
    }

    /**
     * Handles a departure that another VM has read from the store. A removal is ignored while
     * missing entries are kept.
     *
     * @param departure the departure
     * @return whether this VM would have sent requests to the backend server otherwise
     */
    public boolean onDeparture(final Departure departure) {
        if (departure.removed() && keepsMissing()) {
            return false;
        }
        departures.put(departure.server().server(), departure);
        final Optional<ServerEntry> usable =
                find(departure.server().server())
                        .map(TrackedServer::entry)
                        .filter(entry -> !entry.draining() && departure.overrides(entry));
        usable.ifPresent(entry -> addOrUpdate(entry.asDraining()));
        return usable.isPresent();
    }

    /**
     * Removes a backend server whose entry is no longer valid. It is removed at once, also while
     * missing entries are kept.
     *
     * @param id the backend server
     */
    public void removeInvalid(final BackendServerId id) {
        drop(id);
    }

    /**
     * Records that the entry of a backend server was removed from the store.
     *
     * @param id the backend server
     */
    public void remove(final BackendServerId id) {
        if (keepsMissing()) {
            if (servers.containsKey(id)) {
                missing.add(id);
            }
            return;
        }
        drop(id);
    }

    /**
     * Replaces the table by a complete list from the store.
     *
     * @param entries all entries
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

    /**
     * Records that a call on the store failed; the store or only the connection to it may be at
     * fault.
     */
    public void onStoreCallFailed() {
        if (!callFailed && !storeUnavailable) {
            firstFailureMillis = clock.millis();
        }
        callFailed = true;
    }

    /**
     * Records that the store is unavailable, counted from the first failed call if there was one.
     */
    public void onStoreUnavailable() {
        onStoreCallFailed();
        storeUnavailable = true;
    }

    /**
     * Returns whether the store is unavailable, so that changes of entries are not reported.
     *
     * @return true from the first failed list to the next successful call
     */
    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Records that the store is available again. */
    public void onStoreAvailable() {
        final long outageMillis = clock.millis() - firstFailureMillis;
        if (storeUnavailable && outageMillis >= MIN_OUTAGE_MILLIS) {
            graceUntilMillis = clock.millis() + EXPIRY_GRACE_MILLIS;
        }
        callFailed = false;
        storeUnavailable = false;
    }

    /**
     * Records that the store was restored from an older copy. Missing entries get the grace period,
     * and entries of drained backend servers are overridden for a while.
     */
    public void onStoreRestored() {
        graceUntilMillis = clock.millis() + EXPIRY_GRACE_MILLIS;
        drainOverrides.onStoreRestored();
    }

    /**
     * Removes missing entries after their grace period, and ends the overrides of entries that are
     * still listed. Called a few times a second.
     *
     * @return the removed backend servers
     */
    public List<BackendServerId> removeExpired() {
        Optional<ServerEntry> ended = drainOverrides.endedOverride();
        while (ended.isPresent()) {
            addOrUpdate(drainOverrides.apply(ended.get()));
            ended = drainOverrides.endedOverride();
        }
        if (missing.isEmpty() || keepsMissing()) {
            return List.of();
        }
        final List<BackendServerId> removed = new ArrayList<>(missing);
        removed.forEach(this::drop);
        return removed;
    }

    /**
     * Returns the backend servers of a service that may get new requests.
     *
     * @param service the service
     * @return the backend servers in the order of their registration
     */
    public List<TrackedServer> usable(final ServiceName service) {
        return usable.computeIfAbsent(service, this::collect);
    }

    /**
     * Finds a backend server.
     *
     * @param id its id
     * @return the backend server, empty if it is not in the table
     */
    public Optional<TrackedServer> find(final BackendServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Returns all backend servers, including draining ones.
     *
     * @return an unmodifiable view
     */
    public Collection<TrackedServer> all() {
        return Collections.unmodifiableCollection(servers.values());
    }

    /**
     * Returns the number of backend servers, including draining ones.
     *
     * @return the count
     */
    public int size() {
        return servers.size();
    }

    /**
     * Returns whether this VM reaches most backend servers. Otherwise its own links are more likely
     * at fault than the servers, so what it cannot reach says little about them.
     *
     * @return false if more than half of them were unreachable and nothing shows otherwise
     */
    public boolean reachesMost() {
        final long unconfirmed =
                servers.values().stream().filter(s -> s.health().isUnconfirmed()).count();
        return unconfirmed * 2 <= servers.size();
    }

    private boolean keepsMissing() {
        return storeUnavailable || clock.millis() < graceUntilMillis;
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
        missing.remove(id);
        final TrackedServer removed = servers.remove(id);
        if (removed != null) {
            drainOverrides.onRemoved(removed.entry().incarnation());
            expired.keep(removed);
        }
        usable.clear();
    }
}
