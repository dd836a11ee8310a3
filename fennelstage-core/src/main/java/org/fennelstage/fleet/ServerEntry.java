package org.fennelstage.fleet;

import java.time.Duration;
import java.util.Objects;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;

/**
 * The store's entry of one backend server. Immutable and thread-safe.
 *
 * @param incarnation the backend server and its process lifetime
 * @param service the service that it serves
 * @param address where it listens
 * @param dataCentre the data centre where it runs
 * @param version the version of its software, changed by a rollout
 * @param capacity how many requests it runs at once
 * @param draining whether it accepts no new requests because it is about to stop
 * @param warmUpLeft how long it is still warming up, counted from the write of this entry; zero if
 *     it is warmed up
 * @param position the position in the store's history where this was written
 */
public record ServerEntry(
        Incarnation incarnation,
        ServiceName service,
        ServerAddress address,
        DataCentreId dataCentre,
        String version,
        int capacity,
        boolean draining,
        Duration warmUpLeft,
        Position position) {

    public ServerEntry {
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(warmUpLeft, "warmUpLeft is null");
        Objects.requireNonNull(position, "position is null");
    }

    /**
     * Creates the entry of a backend server that is warmed up.
     *
     * @param incarnation the backend server and its process lifetime
     * @param service the service that it serves
     * @param address where it listens
     * @param dataCentre the data centre where it runs
     * @param version the version of its software
     * @param capacity how many requests it runs at once
     * @param draining whether it accepts no new requests
     * @param position the position in the store's history where this was written
     */
    public ServerEntry(
            final Incarnation incarnation,
            final ServiceName service,
            final ServerAddress address,
            final DataCentreId dataCentre,
            final String version,
            final int capacity,
            final boolean draining,
            final Position position) {
        this(
                incarnation,
                service,
                address,
                dataCentre,
                version,
                capacity,
                draining,
                Duration.ZERO,
                position);
    }

    /**
     * Returns the id of the backend server, which stays the same across incarnations.
     *
     * @return the id
     */
    public BackendServerId id() {
        return incarnation.server();
    }

    /**
     * Returns a copy of this entry that is marked as draining.
     *
     * @return the entry
     */
    ServerEntry asDraining() {
        return new ServerEntry(
                incarnation,
                service,
                address,
                dataCentre,
                version,
                capacity,
                true,
                warmUpLeft,
                position);
    }
}
