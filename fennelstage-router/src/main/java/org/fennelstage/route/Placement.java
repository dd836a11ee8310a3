package org.fennelstage.route;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.backend.SlotLedger;
import org.fennelstage.control.LoadLedger;

/**
 * Finds a backend server with a free slot for one request: tries to reserve a slot at each
 * candidate in the given order. If none has a free slot, the request goes to the candidate with the
 * lowest load per slot.
 *
 * <p>If the ledger does not respond, a slot counts as reserved if this VM's own requests leave one
 * free, so that a lost message does not fail the request. Not thread-safe; confined to the event
 * loop.
 */
final class Placement {

    private final LoadLedger ledger;
    private final ServerStateTable serverStates;
    private final EventLoop eventLoop;
    private final List<BackendServer> candidates;
    private final Consumer<Optional<BackendServer>> onPlaced;
    private int next;
    private BackendServer leastLoaded;
    private double minLoad = Double.POSITIVE_INFINITY;

    Placement(
            final LoadLedger ledger,
            final ServerStateTable serverStates,
            final EventLoop eventLoop,
            final List<BackendServer> candidates,
            final Consumer<Optional<BackendServer>> onPlaced) {
        this.ledger = ledger;
        this.serverStates = serverStates;
        this.eventLoop = eventLoop;
        this.candidates = candidates;
        this.onPlaced = onPlaced;
    }

    /**
     * Starts the search. The number of requests in flight at the chosen server includes this one
     * when the callback is called.
     */
    void start() {
        if (next < candidates.size()) {
            reserve(candidates.get(next), false);
        } else if (leastLoaded != null) {
            reserve(leastLoaded, true);
        } else {
            onPlaced.accept(Optional.empty());
        }
    }

    private void reserve(final BackendServer server, final boolean force) {
        // Incremented before the call, so that concurrent requests of this VM send different
        // counts.
        final int ownInFlight = serverStates.state(server.id()).inFlight().getAndIncrement();
        ledger.reserve(server.id(), server.slots(), ownInFlight, force)
                .thenAccept(
                        reservation ->
                                EventLoops.run(
                                        eventLoop,
                                        () ->
                                                onReservation(
                                                        server, ownInFlight, force, reservation)));
    }

    private void onReservation(
            final BackendServer server,
            final int ownInFlight,
            final boolean force,
            final Optional<SlotLedger.Reservation> reservation) {
        final boolean granted =
                reservation
                        .map(SlotLedger.Reservation::granted)
                        .orElse(ownInFlight < server.slots());
        if (granted || force) {
            onPlaced.accept(Optional.of(server));
            return;
        }
        serverStates.state(server.id()).inFlight().decrementAndGet();
        final double load =
                (double) reservation.map(SlotLedger.Reservation::running).orElse(ownInFlight)
                        / server.slots();
        if (load < minLoad) {
            minLoad = load;
            leastLoaded = server;
        }
        next++;
        start();
    }
}
