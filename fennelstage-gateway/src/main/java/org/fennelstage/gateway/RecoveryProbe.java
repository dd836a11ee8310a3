package org.fennelstage.gateway;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ProbeResult;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Finds out whether unreachable backend servers can be reached again, without a caller's request.
 *
 * <p>A backend server that was unreachable gets no requests while there are healthy ones, except
 * those that can afford a failed connection attempt. A service without such requests would not use
 * the server again until it restarts.
 *
 * <p>Invariant: a backend server is probed once per pause of its {@link ServerHealth} at most. Not
 * thread-safe; confined to the event loop.
 */
final class RecoveryProbe {

    private final ConnectionProbe probe;
    private final Consumer<TrackedServer> unreachableListener;

    /**
     * Creates a probe.
     *
     * @param client opens connections to backend servers
     * @param unreachableListener receives backend servers that still cannot be reached
     */
    RecoveryProbe(final HttpClient client, final Consumer<TrackedServer> unreachableListener) {
        this.probe = new ConnectionProbe(client);
        this.unreachableListener =
                Objects.requireNonNull(unreachableListener, "unreachableListener is null");
    }

    /** Probes those of some backend servers for which a probe is due. */
    void probeDue(final List<TrackedServer> servers) {
        for (final TrackedServer server : servers) {
            if (server.health().probeDue()) {
                server.health().onProbe();
                probe.run(server, result -> onProbed(server, result));
            }
        }
    }

    /** Handles the result of a probe. */
    void onProbed(final TrackedServer server, final ProbeResult result) {
        EventLog.write(
                Event.RECOVERY_PROBED, "server", server.entry().incarnation(), "result", result);
        switch (result) {
            case ACCEPTED -> server.health().onConnected();
            case REFUSED, NO_RESPONSE -> unreachableListener.accept(server);
            // At its connection limit or stopping; the next probe will tell.
            case CLOSED -> {}
        }
    }
}
