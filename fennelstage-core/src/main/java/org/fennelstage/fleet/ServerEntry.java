package org.fennelstage.fleet;

import java.time.Duration;
import java.util.Objects;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;

/**
 * What the store says of one worker. Immutable and thread-safe.
 *
 * @param incarnation the worker and which of its lives this is
 * @param service what it serves
 * @param address where it listens
 * @param dataCentre where it stands
 * @param version the version of its software, which a roll-out changes
 * @param capacity how many requests it works on at once
 * @param draining whether it is about to stop and takes no new work
 * @param warmUpLeft how long the worker stays cold, counted from when it wrote this; zero if it is
 *     warm
 * @param position where in the store's history this was written
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
     * Creates the entry of a warm worker.
     *
     * @param incarnation the worker and which of its lives this is
     * @param service what it serves
     * @param address where it listens
     * @param dataCentre where it stands
     * @param version the version of its software
     * @param capacity how many requests it works on at once
     * @param draining whether it is about to stop
     * @param position where in the store's history this was written
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
     * Returns the worker's id, which outlives its incarnations.
     *
     * @return the id
     */
    public BackendServerId id() {
        return incarnation.server();
    }

    /**
     * Returns the entry with the word that the worker leaves.
     *
     * @return the entry
     */
    ServerEntry asLeaving() {
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
