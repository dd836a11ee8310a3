package org.fennelstage.gateway;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.placement.Placement;
import org.fennelstage.policy.Policy;
import org.fennelstage.serving.Route;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.serving.TeamAccess;

/**
 * Takes callers' requests: finds the route and the team, or answers at once why not.
 *
 * <p>Confined to one event loop, on which all connections of callers and workers run.
 */
public final class Gateway implements RequestHandler {

    private final Beliefs beliefs;
    private final WireCodec codec;
    private final HttpClient client;
    private final Placement placement;
    private final RandomGenerator random;
    private final GatewayMetrics metrics;
    private final Policy policy;
    private final CrashWatch crashes;
    private Consumer<Incarnation> unreachableListener = id -> {};
    private Consumer<Incarnation> leavingListener = id -> {};
    private final Set<Attempt> attempts = new LinkedHashSet<>();
    private int inFlight;

    /**
     * Creates a gateway.
     *
     * @param beliefs what the VM believes
     * @param codec translates the wire
     * @param client calls workers
     * @param placement chooses workers
     * @param random draws among a route's services
     * @param metrics counts
     * @param policy the mechanisms in use
     */
    public Gateway(
            final Beliefs beliefs,
            final WireCodec codec,
            final HttpClient client,
            final Placement placement,
            final RandomGenerator random,
            final GatewayMetrics metrics,
            final Policy policy) {
        this.beliefs = Objects.requireNonNull(beliefs, "beliefs is null");
        this.codec = Objects.requireNonNull(codec, "codec is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.placement = Objects.requireNonNull(placement, "placement is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.policy = Objects.requireNonNull(policy, "policy is null");
        this.crashes = new CrashWatch(beliefs.clock(), client);
        crashes.onDecided(this::onUnreachable, this::onQuarantined);
        beliefs.servers().onRestart(this::onRestarted);
    }

    @Override
    public void handle(final ServerExchange exchange) {
        final CallerRequest request;
        try {
            request = codec.decode(exchange);
        } catch (final MalformedRequestException e) {
            refuse(exchange, "", Refusal.MALFORMED, e.getMessage());
            return;
        }
        if (beliefs.configuration().isEmpty()) {
            refuse(exchange, request.id(), Refusal.NOT_CONFIGURED, "");
            return;
        }
        final ServingConfiguration configuration = beliefs.configuration().get();
        final String about = "configuration " + configuration.version();
        final Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            refuse(exchange, request.id(), Refusal.NO_ROUTE, about);
            return;
        }
        final Optional<TeamAccess> access = request.key().flatMap(configuration::access);
        if (configuration.keysInUse() && !route.get().keyless() && access.isEmpty()) {
            refuse(exchange, request.id(), Refusal.UNKNOWN_KEY, about);
            return;
        }
        new RequestRun(this, exchange, request, configuration, route.get(), access).start();
    }

    /**
     * Sets who hears of workers that could not be reached though the way there works.
     *
     * @param listener takes the worker
     */
    public void onUnreachable(final Consumer<Incarnation> listener) {
        unreachableListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets who hears of workers that said in an answer that they leave.
     *
     * @param listener takes the worker
     */
    public void onLeaving(final Consumer<Incarnation> listener) {
        leavingListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Returns how many requests have no whole answer yet.
     *
     * @return the count
     */
    public int inFlight() {
        return inFlight;
    }

    /** Gives up attempts at workers that went silent. To be called several times a second. */
    public void checkSilence() {
        List.copyOf(attempts).forEach(Attempt::checkSilence);
    }

    /**
     * Returns what finds the requests that end their workers.
     *
     * @return the watch
     */
    public CrashWatch crashes() {
        return crashes;
    }

    /** Takes a request back from the workers where it waits: each would end when it begins. */
    private void onQuarantined(final Fingerprint content) {
        for (final Attempt attempt : List.copyOf(attempts)) {
            attempt.run().withdraw(content);
        }
    }

    Set<Attempt> attempts() {
        return attempts;
    }

    Beliefs beliefs() {
        return beliefs;
    }

    WireCodec codec() {
        return codec;
    }

    HttpClient client() {
        return client;
    }

    Placement placement() {
        return placement;
    }

    RandomGenerator random() {
        return random;
    }

    Policy policy() {
        return policy;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    void onBegin() {
        inFlight++;
        metrics.begin();
    }

    void onEnd() {
        inFlight--;
    }

    /**
     * Notes that a worker is silent to requests that it has. All requests there notice it in the
     * same moment; it is one failure, and counted for each it would seem that three workers of the
     * data centre are out of reach.
     */
    void onSilent(final TrackedServer server) {
        if (server.health().tier() != ServerHealth.Tier.UNREACHABLE) {
            onUnreachable(server);
        }
    }

    /**
     * Notes that a worker said that it leaves, and tells the other VMs: its entry may say so only
     * many seconds later, and requests that are there when it stops are cut off.
     */
    void onLeaving(final TrackedServer server) {
        final Incarnation incarnation = server.entry().incarnation();
        if (beliefs.servers().onDraining(incarnation)) {
            EventLog.write(Event.SERVER_DRAINING, "server", incarnation, "source", "own answer");
            leavingListener.accept(incarnation);
        }
    }

    /** Notes that a worker wants nothing from this VM for a time. */
    void onTurnedAway(final TrackedServer server, final Duration time) {
        server.onRejected(time);
        EventLog.write(
                Event.SERVER_REJECTING,
                "server",
                server.entry().incarnation(),
                "for_ms",
                time.toMillis());
    }

    /** Notes that a worker could not be reached, and tells the other VMs if it is at fault. */
    void onUnreachable(final TrackedServer server) {
        client.closeIdle(Sockets.address(server.entry().address()));
        if (server.health().onUnreachable()) {
            unreachableListener.accept(server.entry().incarnation());
        }
    }

    /**
     * Closes the connections that rest with the former life of a worker: without a reset (behind a
     * cut) a request sent on one would wait for its caller's time in vain. Requests under way there
     * are ended by {@link Attempt#checkSilence}.
     */
    private void onRestarted(final TrackedServer former) {
        final ServerEntry entry = former.entry();
        EventLog.write(
                Event.SERVER_RESTARTED,
                "server",
                entry.id(),
                "born_ms",
                entry.incarnation().startMillis(),
                "running",
                former.running());
        client.closeIdle(Sockets.address(entry.address()));
    }

    /** Answers for the router itself. */
    void respond(final ServerExchange exchange, final String requestId, final Refusal refusal) {
        respond(exchange, requestId, refusal, refusal.comeBack());
    }

    /** Answers for the router itself, with when to come back as it was worked out. */
    void respond(
            final ServerExchange exchange,
            final String requestId,
            final Refusal refusal,
            final Duration comeBack) {
        respond(exchange, requestId, refusal, Optional.of(comeBack));
    }

    private void respond(
            final ServerExchange exchange,
            final String requestId,
            final Refusal refusal,
            final Optional<Duration> comeBack) {
        final byte[] body = OwnAnswer.body(refusal);
        exchange.respond(refusal.status(), codec.ownAnswer(requestId, comeBack), body);
    }

    private void refuse(
            final ServerExchange exchange,
            final String requestId,
            final Refusal refusal,
            final String detail) {
        EventLog.write(
                Event.REQUEST_REJECTED,
                "request",
                requestId,
                "reason",
                refusal.reason(),
                "status",
                refusal.status(),
                "detail",
                detail);
        respond(exchange, requestId, refusal);
    }
}
