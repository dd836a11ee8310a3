package org.fennelstage.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.RateLimit;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.ServiceName;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.placement.LoadTest;
import org.fennelstage.placement.Placement;
import org.fennelstage.policy.Policy;
import org.fennelstage.serving.Route;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.serving.TeamAccess;
import org.fennelstage.speed.SampleKind;
import org.fennelstage.speed.ServerSpeeds;
import org.fennelstage.startup.StartProgress;
import org.fennelstage.stop.ExitAdmission;

/**
 * Handles callers' requests: finds the route and the team, or responds with an error.
 *
 * <p>Not thread-safe; confined to the event loop, on which all connections of callers and backend
 * servers run.
 */
public final class Gateway implements RequestHandler {
    private final GatewayState state;
    private final WireCodec codec;
    private final HttpClient client;
    private final Placement placement;
    private final LoadTest loadTest;
    private final RandomGenerator random;
    private final GatewayMetrics metrics;
    private final Policy policy;
    private final CrashDetector crashes;
    private final RecoveryProbe recoveryProbe;
    private final UnreachableReports unreachableReports;
    private Consumer<Incarnation> unreachableListener = id -> {};
    private Consumer<Incarnation> drainingListener = id -> {};
    private BiConsumer<Incarnation, Optional<RateLimit>> limitListener = (id, limit) -> {};
    private Optional<ServerSpeeds> speeds = Optional.empty();
    private PermitSource permits =
            (server, terms, timeout, listener) -> listener.accept(Permit.NONE);
    private Optional<HttpClient> peerClient = Optional.empty();
    private Supplier<List<InetSocketAddress>> peers = List::of;
    private final Map<ServiceName, ForwardingPeers> forwardingPeers = new HashMap<>();
    private boolean acceptsForwarded = true;
    private ExitAdmission exitAdmission = ExitAdmission.ofRunningVm();
    private Optional<Supplier<Duration>> processAge = Optional.empty();
    private final Set<Attempt> attempts = new LinkedHashSet<>();
    private final RemoteMemory memory;
    private final OpenRequests openRequests = new OpenRequests();

    /**
     * Creates a gateway.
     *
     * @param state what this VM knows of the fleet
     * @param codec translates the wire format
     * @param client sends requests to backend servers
     * @param placement chooses backend servers
     * @param random source of randomness for the choice of services and for jitter
     * @param metrics the metrics
     * @param memory the memory for responses
     * @param policy the mechanisms in use
     */
    public Gateway(
            final GatewayState state,
            final WireCodec codec,
            final HttpClient client,
            final Placement placement,
            final RandomGenerator random,
            final GatewayMetrics metrics,
            final RemoteMemory memory,
            final Policy policy) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.codec = Objects.requireNonNull(codec, "codec is null");
        this.client = Objects.requireNonNull(client, "client is null");
        this.placement = Objects.requireNonNull(placement, "placement is null");
        this.loadTest = LoadTest.of(placement, random);
        this.random = Objects.requireNonNull(random, "random is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.memory = Objects.requireNonNull(memory, "memory is null");
        this.policy = Objects.requireNonNull(policy, "policy is null");
        this.crashes = new CrashDetector(state.clock(), client, state.servers()::reachesMost);
        this.unreachableReports =
                new UnreachableReports(
                        state.servers(),
                        state.clock(),
                        server -> unreachableListener.accept(server));
        this.recoveryProbe = new RecoveryProbe(client, this::onUnreachable);
        crashes.setListeners(this::onUnreachable, this::onQuarantined);
        state.servers().onRestart(this::onRestarted);
    }

    /**
     * Sets the other VMs, through which requests go while this VM reaches no backend server. There
     * are none by default.
     *
     * @param client sends requests to other VMs
     * @param addresses their addresses
     */
    public void forwardThrough(
            final HttpClient client, final Supplier<List<InetSocketAddress>> addresses) {
        peerClient = Optional.of(client);
        peers = Objects.requireNonNull(addresses, "addresses is null");
    }

    HttpClient peerClient() {
        return peerClient.orElseThrow();
    }

    ForwardingPeers forwardingPeers(final ServiceName service) {
        return forwardingPeers.computeIfAbsent(
                service, s -> new ForwardingPeers(() -> peers.get(), random, state.clock()));
    }

    /**
     * Sets from what the retry time of a VM without a configuration is estimated; by default it is
     * fixed.
     *
     * @param age supplies the time since the process began
     */
    public void estimateStartFrom(final Supplier<Duration> age) {
        processAge = Optional.of(age);
    }

    private void rejectNotConfigured(final ServerExchange exchange, final String requestId) {
        final GatewayError error = GatewayError.NOT_CONFIGURED;
        final Optional<Duration> retryAfter =
                processAge
                        .map(age -> StartProgress.retryAfter(age.get(), random.nextDouble()))
                        .or(error::retryAfter);
        final String detail =
                retryAfter.map(time -> "retry after " + time.toMillis() + " ms").orElse("");
        logRejected(requestId, error, detail);
        respond(exchange, requestId, error, retryAfter);
    }

    /** Rejects the requests that other VMs forward from now on. */
    public void stopAcceptingForwarded() {
        acceptsForwarded = false;
    }

    /**
     * From now on passes on only requests that are likely to end before the last responses.
     *
     * @param remaining supplies the time until {@link #respondToOpenRequests}
     */
    public void exitAfter(final Supplier<Duration> remaining) {
        exitAdmission = ExitAdmission.until(remaining);
    }

    ExitAdmission exitAdmission() {
        return exitAdmission;
    }

    /**
     * Ends each open request whose response has not started: as not run if it certainly has not,
     * else with an unknown outcome. To be called shortly before the exit.
     */
    public void respondToOpenRequests() {
        openRequests.forEach(RequestExecution::respondBeforeExit);
    }

    /** Ends all open requests. To be called at the exit. */
    public void abortOpenRequests() {
        openRequests.forEach(RequestExecution::endAtExit);
    }

    /**
     * Returns whether another VM has forwarded a request.
     *
     * @param exchange a request of another VM
     * @return true if it is to be handled by {@link #handleForwarded}
     */
    public static boolean isForwarded(final ServerExchange exchange) {
        return ForwardingHeaders.servers(exchange.headers()).isPresent();
    }

    /**
     * Handles a caller's request that another VM has forwarded.
     *
     * @param exchange the request
     */
    public void handleForwarded(final ServerExchange exchange) {
        final OptionalInt servers = ForwardingHeaders.servers(exchange.headers());
        ForwardingHeaders.removeServers(exchange.headers());
        if (!acceptsForwarded) {
            respondNotReached(exchange, "");
            return;
        }
        handle(exchange, servers);
    }

    /** Responds to another VM that this one reaches no backend server for its request. */
    void respondNotReached(final ServerExchange exchange, final String requestId) {
        final GatewayError error = GatewayError.NO_ELIGIBLE_SERVER;
        final HttpHeaders headers = codec.errorHeaders(requestId, error.retryAfter());
        ForwardingHeaders.setNotReached(headers);
        exchange.respond(error.status(), headers, ErrorBody.body(error));
    }

    @Override
    public void handle(final ServerExchange exchange) {
        handle(exchange, OptionalInt.empty());
    }

    /** An unexpected error would be lost with the task, and the caller would wait for ever. */
    private void handle(final ServerExchange exchange, final OptionalInt forwardedServers) {
        try {
            decodeAndStart(exchange, forwardedServers);
        } catch (final RuntimeException | StackOverflowError e) {
            logError("", e);
            respond(exchange, "", GatewayError.INTERNAL);
        }
    }

    /** Logs an unexpected error and where it was thrown. */
    static void logError(final String requestId, final Throwable error) {
        final StackTraceElement[] trace = error.getStackTrace();
        EventLog.write(
                Event.REQUEST_ERROR,
                "request",
                requestId,
                "error",
                error,
                "at",
                trace.length == 0 ? "" : trace[0]);
    }

    private void decodeAndStart(final ServerExchange exchange, final OptionalInt forwardedServers) {
        final CallerRequest request;
        try {
            request = codec.decode(exchange);
        } catch (final MalformedRequestException e) {
            reject(exchange, "", GatewayError.MALFORMED, e.getMessage());
            return;
        }
        if (state.configuration().isEmpty()) {
            rejectNotConfigured(exchange, request.id());
            return;
        }
        final ServingConfiguration configuration = state.configuration().get();
        final String detail = "configuration " + configuration.version();
        final Optional<Route> route = configuration.route(request.host(), request.path());
        if (route.isEmpty()) {
            reject(exchange, request.id(), GatewayError.NO_ROUTE, detail);
            return;
        }
        final Optional<TeamAccess> access = request.key().flatMap(configuration::access);
        if (configuration.keysInUse() && !route.get().keyless() && access.isEmpty()) {
            reject(exchange, request.id(), GatewayError.UNKNOWN_KEY, detail);
            return;
        }
        new RequestExecution(
                        this,
                        exchange,
                        request,
                        configuration,
                        route.get(),
                        access,
                        forwardedServers)
                .start();
    }

    /**
     * Sets the listener for backend servers that could not be reached although this VM's links
     * work.
     *
     * @param listener receives the backend server
     */
    public void onUnreachable(final Consumer<Incarnation> listener) {
        unreachableListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets the listener for backend servers that report in a response that they are draining.
     *
     * @param listener receives the backend server
     */
    public void onServerDraining(final Consumer<Incarnation> listener) {
        drainingListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets the listener for rate limits that backend servers report in responses to this VM.
     *
     * @param listener receives the backend server and its limit with each response that has one,
     *     and once without a limit when the limit has ended
     */
    public void onServerLimit(final BiConsumer<Incarnation, Optional<RateLimit>> listener) {
        limitListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets where permits for saturated backend servers come from; there are none by default.
     *
     * @param source the source
     */
    public void usePermits(final PermitSource source) {
        permits = Objects.requireNonNull(source, "source is null");
    }

    /**
     * Sets what receives the samples of how long backend servers take; there is none by default.
     *
     * @param newSpeeds the speeds of the backend servers
     */
    public void useSpeeds(final ServerSpeeds newSpeeds) {
        speeds = Optional.of(newSpeeds);
    }

    boolean usesSpeeds() {
        return speeds.isPresent();
    }

    /** Handles a sample of how long a backend server took; milliseconds. */
    void onSpeedSample(
            final TrackedServer server,
            final SampleKind kind,
            final double millis,
            final double weight) {
        if (speeds.isPresent()) {
            speeds.get().onSample(server, kind, millis, weight);
            metrics.speedSample(kind.service().value());
        }
    }

    PermitSource permits() {
        return permits;
    }

    /**
     * Returns the number of requests whose response is not complete.
     *
     * @return the count
     */
    public int inFlight() {
        return openRequests.size();
    }

    RemoteMemory memory() {
        return memory;
    }

    /**
     * Ends attempts at backend servers that exceed the inactivity timeout, and reports unreachable
     * servers that are due. To be called several times a second.
     */
    public void checkInactivity() {
        // What delays all responses has to be known before those of a new version are judged.
        attempts.stream().filter(a -> !a.isOfNewVersion()).forEach(Attempt::checkDuration);
        attempts.stream().filter(Attempt::isOfNewVersion).forEach(Attempt::checkDuration);
        for (final Attempt attempt : List.copyOf(attempts)) {
            attempt.execution().step(attempt::checkInactivity);
        }
        unreachableReports.sendDue();
    }

    /**
     * Returns the detector of requests that crash backend servers.
     *
     * @return the detector
     */
    public CrashDetector crashes() {
        return crashes;
    }

    /**
     * Cancels the open attempts of a quarantined request, so that they crash no further backend
     * servers.
     */
    private void onQuarantined(final Fingerprint fingerprint) {
        for (final Attempt attempt : List.copyOf(attempts)) {
            final RequestExecution execution = attempt.execution();
            execution.step(() -> execution.cancelIfQuarantined(fingerprint));
        }
    }

    Set<Attempt> attempts() {
        return attempts;
    }

    GatewayState state() {
        return state;
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

    LoadTest loadTest() {
        return loadTest;
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

    RecoveryProbe recoveryProbe() {
        return recoveryProbe;
    }

    void onRequestStarted(final RequestExecution request) {
        openRequests.add(request);
        metrics.begin();
    }

    void onRequestEnded(final RequestExecution request) {
        openRequests.remove(request);
    }

    /**
     * Records that a backend server is inactive. All of its requests detect this at the same time;
     * counted once per request, one failure would look like an unreachable data centre.
     */
    void onInactive(final TrackedServer server) {
        if (server.health().tier() != ServerHealth.Tier.UNREACHABLE) {
            onExcluded(server, server.health().onInactive(random.nextDouble()));
        }
    }

    /**
     * Records that a backend server is draining and notifies the other VMs, since the change of its
     * entry may arrive many seconds later.
     */
    void onServerDraining(final TrackedServer server) {
        final Incarnation incarnation = server.entry().incarnation();
        if (state.servers().onDraining(incarnation)) {
            EventLog.write(Event.SERVER_DRAINING, "server", incarnation, "source", "response");
            drainingListener.accept(incarnation);
        }
    }

    /** Records that a backend server rejects requests of this VM for a time. */
    void onRejecting(final TrackedServer server, final Duration time) {
        server.onRejected(time);
        EventLog.write(
                Event.SERVER_REJECTING,
                "server",
                server.entry().incarnation(),
                "for_ms",
                time.toMillis());
    }

    /** Records whether the backend servers of a service say that they are brittle. */
    void onBrittleReported(final ServiceName service, final boolean brittle) {
        if (state.brittleServices().onResponse(service, brittle)) {
            EventLog.write(Event.SERVICE_BRITTLE, "service", service, "brittle", brittle);
        }
    }

    /** Records that a backend server reported a rate limit and notifies the other VMs. */
    void onLimitReported(final TrackedServer server, final RateLimit limit) {
        final Incarnation incarnation = server.entry().incarnation();
        if (server.onLimit(limit)) {
            EventLog.write(
                    Event.SERVER_LIMITED,
                    "server",
                    incarnation,
                    "requests_per_s",
                    limit.requestsPerSecond(),
                    "source",
                    "response");
        }
        limitListener.accept(incarnation, Optional.of(limit));
    }

    /**
     * Records that a backend server responded without a rate limit, and notifies the other VMs if
     * this ends one: most have no share of its requests and would not find out.
     */
    void onUnlimitedResponse(final TrackedServer server, final long sentMillis) {
        if (server.onUnlimitedResponse(sentMillis)) {
            final Incarnation incarnation = server.entry().incarnation();
            EventLog.write(Event.SERVER_LIMIT_ENDED, "server", incarnation, "source", "response");
            limitListener.accept(incarnation, Optional.empty());
        }
    }

    /**
     * Records that a backend server could not be reached and notifies the other VMs if the network
     * is not at fault.
     */
    void onUnreachable(final TrackedServer server) {
        onExcluded(server, server.health().onUnreachable());
    }

    private void onExcluded(final TrackedServer server, final boolean networkWorks) {
        client.closeIdle(Sockets.address(server.entry().address()));
        if (networkWorks) {
            unreachableReports.onUnreachable(server.entry().incarnation());
        }
    }

    /**
     * Closes the idle connections to the previous incarnation of a backend server. If no reset
     * arrives, a request sent on one would wait until its deadline. Running requests are ended by
     * {@link Attempt#checkInactivity}.
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

    /** Sends an error response. */
    void respond(final ServerExchange exchange, final String requestId, final GatewayError error) {
        respond(exchange, requestId, error, error.retryAfter());
    }

    /** Sends an error response with the given retry time. */
    void respond(
            final ServerExchange exchange,
            final String requestId,
            final GatewayError error,
            final Duration retryAfter) {
        respond(exchange, requestId, error, Optional.of(retryAfter));
    }

    private void respond(
            final ServerExchange exchange,
            final String requestId,
            final GatewayError error,
            final Optional<Duration> retryAfter) {
        final byte[] body = ErrorBody.body(error);
        exchange.respond(error.status(), codec.errorHeaders(requestId, retryAfter), body);
    }

    private void reject(
            final ServerExchange exchange,
            final String requestId,
            final GatewayError error,
            final String detail) {
        logRejected(requestId, error, detail);
        respond(exchange, requestId, error);
    }

    private static void logRejected(
            final String requestId, final GatewayError error, final String detail) {
        EventLog.write(
                Event.REQUEST_REJECTED,
                "request",
                requestId,
                "reason",
                error.reason(),
                "status",
                error.status(),
                "detail",
                detail);
    }
}
