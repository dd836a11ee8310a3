package org.fennelstage.vm;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.fleet.Departure;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoredValue;

/**
 * Applies changes of backend server entries to the table. Not thread-safe; confined to the event
 * loop.
 */
final class ServerFeed implements Follower.Listener<ServerEntry> {

    private final GatewayState state;
    private final ServerTable servers;
    private final Runnable afterList;
    private Consumer<Departure> departureListener = departure -> {};

    ServerFeed(final GatewayState state, final Runnable afterList) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.servers = state.servers();
        this.afterList = Objects.requireNonNull(afterList, "afterList is null");
    }

    /**
     * Sets the listener for backend servers that the store shows as draining or removed.
     *
     * @param listener receives each departure once it has been applied
     */
    void onDeparture(final Consumer<Departure> listener) {
        departureListener = Objects.requireNonNull(listener, "listener is null");
    }

    @Override
    public void onAll(final List<StoredValue<ServerEntry>> values) {
        final List<ServerEntry> entries =
                values.stream().map(StoredValue::value).flatMap(Optional::stream).toList();
        final List<Departure> departures =
                entries.stream().filter(this::departsFromUse).map(ServerFeed::draining).toList();
        state.onAllServers(entries);
        departures.forEach(departureListener);
        EventLog.write(
                Event.SERVER_ENTRY_CHANGED, "listed", values.size(), "in_table", servers.size());
        afterList.run();
    }

    /** Returns whether an entry shows a backend server as draining that the table has in use. */
    private boolean departsFromUse(final ServerEntry entry) {
        return entry.draining()
                && inUse(entry.id()).filter(entry.incarnation()::equals).isPresent();
    }

    /** Returns the incarnation of a backend server that the table has in use. */
    private Optional<Incarnation> inUse(final BackendServerId server) {
        return servers.find(server)
                .map(TrackedServer::entry)
                .filter(entry -> !entry.draining())
                .map(ServerEntry::incarnation);
    }

    private static Departure draining(final ServerEntry entry) {
        return new Departure(entry.incarnation(), entry.position(), false);
    }

    @Override
    public void onChange(final StoredValue<ServerEntry> change) {
        if (change.value().isPresent()) {
            final ServerEntry entry = change.value().get();
            final boolean applied = state.onServer(entry);
            if (applied && entry.draining()) {
                departureListener.accept(draining(entry));
            }
            EventLog.write(
                    Event.SERVER_ENTRY_CHANGED,
                    "server",
                    entry.id(),
                    "service",
                    entry.service(),
                    "version",
                    entry.version(),
                    "leaving",
                    entry.draining(),
                    "born_ms",
                    entry.incarnation().startMillis(),
                    "taken",
                    applied,
                    "revision",
                    change.position());
        } else {
            id(change.name()).ifPresent(id -> onRemoved(id, change.position()));
            EventLog.write(
                    Event.SERVER_ENTRY_REMOVED,
                    "server",
                    change.name(),
                    "revision",
                    change.position());
        }
    }

    private void onRemoved(final BackendServerId id, final Position position) {
        final Optional<Incarnation> removed = inUse(id);
        servers.remove(id);
        // An entry that expired during an outage of the store stays in the table.
        removed.filter(incarnation -> servers.find(id).isEmpty())
                .map(incarnation -> new Departure(incarnation, position, true))
                .ifPresent(departureListener);
    }

    @Override
    public void onMalformed(final StoredValue<ServerEntry> value) {
        id(value.name()).ifPresent(servers::removeInvalid);
    }

    /** Returns the id in a name, empty if the name is invalid and thus that of no server. */
    private static Optional<BackendServerId> id(final String name) {
        try {
            return Optional.of(BackendServerId.of(name));
        } catch (final IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public void onStoreCallFailed() {
        servers.onStoreCallFailed();
    }

    @Override
    public void onStoreUnavailable() {
        servers.onStoreUnavailable();
    }

    @Override
    public void onStoreAvailable() {
        servers.onStoreAvailable();
    }

    @Override
    public void onStoreRestored() {
        state.onStoreRestored();
    }

    /** Removes entries that expired while the store was unavailable and were not renewed. */
    void removeExpired() {
        servers.removeExpired()
                .forEach(id -> EventLog.write(Event.SERVER_ENTRY_EXPIRED, "server", id));
    }
}
