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
 * The attempts of one request at backend servers, one at a time.
 *
 * <p>Invariants: no server is tried twice; bytes of an attempt that was given up reach nobody,
 * since its call is cancelled; the number of requests in flight at a server counts each attempt
 * once. Confined to the request's event loop.
 */
final class Attempts {

    private static final int MOST = 3;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final WorkerTable workers;
    private final HttpClient client;
    private final ObjIntConsumer<BackendServerId> onReleased;
    private final Set<BackendServerId> tried = new HashSet<>();
    private Optional<BackendServer> current = Optional.empty();
    private boolean mayHaveRun;
    private Call call;

    /**
     * Creates attempts.
     *
     * @param workers what is known of servers
     * @param client makes the calls
     * @param onReleased hears that a server has one request of this VM less, and how many are left
     */
    Attempts(
            final WorkerTable workers,
            final HttpClient client,
            final ObjIntConsumer<BackendServerId> onReleased) {
        this.workers = workers;
        this.client = client;
        this.onReleased = onReleased;
    }

    boolean isFirst() {
        return tried.isEmpty();
    }

    /**
     * Tells whether any attempt may have run: one that is under way, or an earlier one that was not
     * surely refused. Only the last attempt is not enough: a request that ran and failed, and was
     * then retried at a server that cannot be reached, would be told "not run".
     */
    boolean mayHaveRun() {
        return mayHaveRun || current.isPresent();
    }

    boolean mayTryAgain() {
        return tried.size() < MOST;
    }

    Set<BackendServerId> tried() {
        return Set.copyOf(tried);
    }

    /**
     * Sends the request to a server that was placed, and so counted, for it.
     *
     * @param server the server
     * @param options the bounds of the call, with or without a fresh connection
     * @param request makes the request
     * @param listener hears the response
     */
    void sendTo(
            final BackendServer server,
            final CallOptions options,
            final Supplier<FullHttpRequest> request,
            final ResponseListener listener) {
        release();
        current = Optional.of(server);
        tried.add(server.id());
        workers.state(server.id()).breaker().onAttempt();
        call =
                client.send(
                        new InetSocketAddress(server.host(), server.port()),
                        request.get(),
                        options,
                        listener);
    }

    /**
     * Sends the request to a server that was not tried yet.
     *
     * @param pool the servers
     * @param choice how to choose
     * @param prefix the hash of the prompt's prefix
     * @param options the bounds of the call, with or without a fresh connection
     * @param request makes the request
     * @param listener hears the response
     * @return the server, empty if there is none left
     */
    Optional<BackendServer> send(
            final Pool pool,
            final ServerSelector choice,
            final long prefix,
            final CallOptions options,
            final Supplier<FullHttpRequest> request,
            final ResponseListener listener) {
        release();
        final Optional<BackendServer> chosen = pool.choose(choice, prefix, tried);
        chosen.ifPresent(
                server -> {
                    workers.state(server.id()).inFlight().incrementAndGet();
                    sendTo(server, options, request, listener);
                });
        return chosen;
    }

    static CallOptions options(final Duration silence, final boolean idempotent) {
        return CallOptions.of(CONNECT_TIMEOUT, silence, !idempotent);
    }

    /** Notes that the present server answered. */
    void onAnswer() {
        mayHaveRun = true;
        current.ifPresent(
                s -> {
                    if (workers.state(s.id()).breaker().onSuccess()) {
                        EventLog.write(Event.SERVER_RECOVERED, "server", s.id());
                    }
                });
    }

    /**
     * Notes that the present attempt failed.
     *
     * @param failure how
     */
    void onFailure(final CallFailure failure) {
        mayHaveRun |= failure.phase() != CallFailure.Phase.NOT_SENT;
        current.ifPresent(
                s -> {
                    final boolean connectionFailed =
                            failure.phase() != CallFailure.Phase.RESPONDING;
                    if (connectionFailed && workers.state(s.id()).breaker().onFailure()) {
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

    /** Gives the present attempt up, which may have run. */
    void cancel() {
        mayHaveRun |= current.isPresent();
        drop();
    }

    /** Ends the present attempt, which its server has surely not run. */
    void drop() {
        if (call != null) {
            call.cancel();
        }
        release();
    }

    /** Notes that the present attempt is over. */
    void release() {
        current.ifPresent(
                s -> {
                    final int left = workers.state(s.id()).inFlight().decrementAndGet();
                    onReleased.accept(s.id(), left);
                });
        current = Optional.empty();
        call = null;
    }
}
