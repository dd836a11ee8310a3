package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Consumer;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.ConnectionPolicy;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ProbeResult;

/**
 * Opens a connection to a backend server without sending a request, to find out whether the server
 * can be reached. The connection is kept for the next request.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ConnectionProbe {

    /** A closed port refuses a connection within milliseconds. */
    static final Duration TIMEOUT = Duration.ofMillis(200);

    /**
     * How long a connection is kept. The delay before its first use guards against a crashing
     * process that still accepts a connection.
     */
    private static final ConnectionPolicy CONNECTION =
            new ConnectionPolicy(Duration.ofSeconds(4), 1, Duration.ofMillis(50));

    private final HttpClient client;

    ConnectionProbe(final HttpClient client) {
        this.client = Objects.requireNonNull(client, "client is null");
    }

    /**
     * Probes a backend server.
     *
     * @param server the backend server
     * @param listener receives the result once
     */
    void run(final TrackedServer server, final Consumer<ProbeResult> listener) {
        run(server, CONNECTION, listener);
    }

    /**
     * Probes a backend server.
     *
     * @param server the backend server
     * @param policy how long the connection must stay open, and whether it is kept
     * @param listener receives the result once
     */
    void run(
            final TrackedServer server,
            final ConnectionPolicy policy,
            final Consumer<ProbeResult> listener) {
        client.probe(Sockets.address(server.entry().address()), TIMEOUT, policy, listener);
    }
}
