package org.fennelstage.route;

import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import java.util.function.Supplier;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.backend.ServerSelector;
import org.fennelstage.http.Call;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ResponseListener;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Sends the attempts of one request to backend servers, one at a time.
 *
 * <p>Invariants: each attempt goes to a different server; a cancelled attempt delivers no further
 * bytes to its listener; the number of requests in flight at a server counts each attempt once. Not
 * thread-safe; confined to the event loop.
 */
final class Attempts {

    private static final int MAX_ATTEMPTS = 3;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final ServerStateTable serverStates;
    private final HttpClient client;
    private final ObjIntConsumer<BackendServerId> onReleased;
    private final Set<BackendServerId> tried = new HashSet<>();
    private Optional<BackendServer> current = Optional.empty();
    private boolean mayHaveRun;
    private Call call;

    /**
     * Creates the attempts of one request.
     *
     * @param serverStates the states of the backend servers
     * @param client opens the connections to backend servers
     * @param onReleased called with a server and this VM's remaining number of requests in flight
     *     there when an attempt ends
     */
    Attempts(
            final ServerStateTable serverStates,
            final HttpClient client,
            final ObjIntConsumer<BackendServerId> onReleased) {
        this.serverStates = serverStates;
        this.client = client;
        this.onReleased = onReleased;
    }

    boolean isFirst() {
        return tried.isEmpty();
    }

    /**
     * Returns whether any attempt may have run: the current one, or an earlier one that was not
     * known to be rejected. Considers all attempts, so that a request that ran, failed and was
     * retried at an unreachable server is not reported as "not run".
     */
    boolean mayHaveRun() {
        return mayHaveRun || current.isPresent();
    }

    boolean mayRetry() {
        return tried.size() < MAX_ATTEMPTS;
    }

    Set<BackendServerId> tried() {
        return Set.copyOf(tried);
    }

    /**
     * Sends the request to a server whose count of requests in flight already includes it.
     *
     * @param server the server
     * @param options the timeouts, and whether to use a new connection
     * @param request creates the request message
     * @param listener receives the response
     */
    void sendTo(
            final BackendServer server,
            final CallOptions options,
            final Supplier<FullHttpRequest> request,
            final ResponseListener listener) {
        release();
        current = Optional.of(server);
        tried.add(server.id());
        serverStates.state(server.id()).breaker().onAttempt();
        call =
                client.send(
                        new InetSocketAddress(server.host(), server.port()),
                        request.get(),
                        options,
                        listener);
    }

    /**
     * Sends the request to a server that has not been tried yet.
     *
     * @param pool the servers
     * @param selector the selection strategy
     * @param prefixHash the hash of the prompt's prefix
     * @param options the timeouts, and whether to use a new connection
     * @param request creates the request message
     * @param listener receives the response
     * @return the server, empty if no untried server is available
     */
    Optional<BackendServer> send(
            final ServerPool pool,
            final ServerSelector selector,
            final long prefixHash,
            final CallOptions options,
            final Supplier<FullHttpRequest> request,
            final ResponseListener listener) {
        release();
        final Optional<BackendServer> chosen = pool.choose(selector, prefixHash, tried);
        chosen.ifPresent(
                server -> {
                    serverStates.state(server.id()).inFlight().incrementAndGet();
                    sendTo(server, options, request, listener);
                });
        return chosen;
    }

    static CallOptions options(final Duration inactivityTimeout, final boolean idempotent) {
        return CallOptions.of(CONNECT_TIMEOUT, inactivityTimeout, !idempotent);
    }

    /** Records that the current server sent the head of a response. */
    void onResponse() {
        mayHaveRun = true;
        current.ifPresent(
                s -> {
                    if (serverStates.state(s.id()).breaker().onSuccess()) {
                        EventLog.write(Event.SERVER_RECOVERED, "server", s.id());
                    }
                });
    }

    /**
     * Ends the current attempt as failed.
     *
     * @param failure the phase and cause of the failure
     */
    void onFailure(final CallFailure failure) {
        mayHaveRun |= failure.phase() != CallFailure.Phase.NOT_SENT;
        current.ifPresent(
                s -> {
                    final boolean connectionFailed =
                            failure.phase() != CallFailure.Phase.RESPONDING;
                    if (connectionFailed && serverStates.state(s.id()).breaker().onFailure()) {
                        EventLog.write(
                                Event.SERVER_EXCLUDED,
                                "server",
                                s.id(),
                                "detail",
                                failure.detail());
                    }
                });
        release();
    }

    void pause(final boolean paused) {
        if (call != null) {
            call.pause(paused);
        }
    }

    /** Cancels the current attempt, which may have run. */
    void cancel() {
        mayHaveRun |= current.isPresent();
        cancelCall();
    }

    /**
     * Cancels the call of the current attempt without recording that it may have run; for attempts
     * that the server rejected.
     */
    void cancelCall() {
        if (call != null) {
            call.cancel();
        }
        release();
    }

    /** Ends the current attempt and decrements the server's count of requests in flight. */
    void release() {
        current.ifPresent(
                s -> {
                    final int inFlight = serverStates.state(s.id()).inFlight().decrementAndGet();
                    onReleased.accept(s.id(), inFlight);
                });
        current = Optional.empty();
        call = null;
    }
}
