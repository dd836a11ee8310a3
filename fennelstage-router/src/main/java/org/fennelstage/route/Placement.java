package org.fennelstage.route;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.backend.SlotLedger;
import org.fennelstage.control.LoadLedger;

/**
 * Finds a server with a free slot for one request: asks the ledger for each candidate in turn, the
 * one whose cache most likely holds the prompt's prefix first. If none has a free slot the request
 * queues at the one with the fewest.
 *
 * <p>A keeper that does not answer is taken for a yes if this VM itself has a slot's worth free
 * there, so that a lost message costs a few milliseconds and no request. Confined to one event
 * loop.
 */
final class Placement {

    private final LoadLedger ledger;
    private final WorkerTable workers;
    private final EventLoop eventLoop;
    private final List<BackendServer> candidates;
    private final Consumer<Optional<BackendServer>> onPlaced;
    private int next;
    private BackendServer leastLoaded;
    private double least = Double.POSITIVE_INFINITY;

    Placement(
            final LoadLedger ledger,
            final WorkerTable workers,
            final EventLoop eventLoop,
            final List<BackendServer> candidates,
            final Consumer<Optional<BackendServer>> onPlaced) {
        this.ledger = ledger;
        this.workers = workers;
        this.eventLoop = eventLoop;
        this.candidates = candidates;
        this.onPlaced = onPlaced;
    }

    /** Begins; the server in the end is counted as having one more request of this VM. */
    void start() {
        if (next < candidates.size()) {
            ask(candidates.get(next), false);
        } else if (leastLoaded != null) {
            ask(leastLoaded, true);
        } else {
            onPlaced.accept(Optional.empty());
        }
    }

    private void ask(final BackendServer server, final boolean force) {
        // Counted before the question, so that two requests of this VM that ask at the same time
        // state different counts.
        final int own = workers.state(server.id()).inFlight().getAndIncrement();
        ledger.reserve(server.id(), server.slots(), own, force)
                .thenAccept(
                        answer -> Loops.run(eventLoop, () -> onAnswer(server, own, force, answer)));
    }

    private void onAnswer(
            final BackendServer server,
            final int own,
            final boolean force,
            final Optional<SlotLedger.Reservation> answer) {
        final boolean granted =
                answer.map(SlotLedger.Reservation::granted).orElse(own < server.slots());
        if (granted || force) {
            onPlaced.accept(Optional.of(server));
            return;
        }
        workers.state(server.id()).inFlight().decrementAndGet();
        final double load =
                (double) answer.map(SlotLedger.Reservation::running).orElse(own) / server.slots();
        if (load < least) {
            least = load;
            leastLoaded = server;
        }
        next++;
        start();
    }
}
