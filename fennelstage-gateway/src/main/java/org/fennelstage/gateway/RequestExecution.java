package org.fennelstage.gateway;

import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.attempt.AttemptLog;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.VersionChoice;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.placement.Job;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.serving.Route;
import org.fennelstage.serving.RouteKind;
import org.fennelstage.serving.ServingConfiguration;
import org.fennelstage.serving.TeamAccess;
import org.fennelstage.serving.WeightedService;

/**
 * Executes one request from its arrival to its end.
 *
 * <p>Invariants: the caller receives exactly one response or a broken connection; at most one
 * attempt is open, and beside it one may be set aside; {@link AttemptLog} alone decides whether
 * another attempt may be made and whether "not run" may be reported.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class RequestExecution {

    private static final int UNAVAILABLE = 503;

    /** Maximum attempts that fail before anything is sent; more indicate a fault of the network. */
    private static final int MAX_NOT_SENT = 4;

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final CallerRequest request;
    private final Route route;
    private final Optional<TeamAccess> access;
    private final int priority;
    private final AttemptLog attempts;
    private final RequestFingerprints fingerprints;
    private final RequestLog log;
    private final ModelChoice models;
    private final WaitEstimator waitEstimator;
    private final PermitCheck permits;
    private final ExitCheck exit;
    private final Forwarding forwarding;
    private final boolean forwarded;
    private final ErrorResponder errors;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final CallerResponse response;
    private Optional<OpenAttempt> openAttempt = Optional.empty();
    private final Set<Incarnation> asked = new HashSet<>();
    private Optional<KeptAttempt> kept = Optional.empty();
    private Optional<Takeover> takeover = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private ServiceName service;
    private OptionalInt confidence = OptionalInt.empty();
    private VersionChoice version;
    private boolean testsLoad;
    private int notSent;
    private boolean counted;
    private Set<Fingerprint> trialOf = Set.of();
    private boolean ended;

    /**
     * Creates the execution of a request.
     *
     * @param gateway the gateway that received it
     * @param exchange its response
     * @param request the request
     * @param configuration the configuration that it uses throughout
     * @param route its route
     * @param access the team and its access, empty without a key
     * @param forwardedServers the number of backend servers to which a request that another VM
     *     forwarded may be sent, empty for a request of a caller
     */
    RequestExecution(
            final Gateway gateway,
            final ServerExchange exchange,
            final CallerRequest request,
            final ServingConfiguration configuration,
            final Route route,
            final Optional<TeamAccess> access,
            final OptionalInt forwardedServers) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.request = request;
        this.route = route;
        this.access = access;
        this.forwarded = forwardedServers.isPresent();
        this.attempts =
                AttemptLog.of(
                        route.retryable(),
                        Math.min(route.maxServers(), forwardedServers.orElse(route.maxServers())));
        this.fingerprints = request.fingerprints();
        this.priority =
                route.effectivePriority(
                        access.map(TeamAccess::priority).orElse(OptionalInt.empty()));
        this.log =
                new RequestLog(
                        request, fingerprints, route, priority, configuration.version(), attempts);
        this.models = ModelChoice.of(route, gateway);
        this.waitEstimator = new WaitEstimator(gateway, request);
        this.permits = new PermitCheck(gateway, route, log, traffic());
        this.exit = new ExitCheck(gateway, this::latencyEstimator);
        this.forwarding = new Forwarding(this, !forwarded);
        this.errors = new ErrorResponder(gateway, exchange, request.id(), waitEstimator, log);
        this.arrivedMillis = now();
        final Duration allowed =
                request.deadline()
                        .filter(d -> d.compareTo(route.timeout()) < 0)
                        .orElse(route.timeout());
        this.deadlineMillis = arrivedMillis + allowed.toMillis();
        this.response = new CallerResponse(exchange, this::onFirstByte);
    }

    /** Returns the priority and team by which permits are shared, empty if they are not. */
    private Optional<TrafficClass> traffic() {
        return gateway.policy().uses(Mechanism.FAIR_ADMISSION)
                ? Optional.of(TrafficClass.of(priority, access.map(TeamAccess::team)))
                : Optional.empty();
    }

    void start() {
        gateway.onRequestStarted(this);
        step(this::begin);
    }

    /**
     * Runs a step of this request. An unexpected error, as by a value of a caller or a backend
     * server that no check foresaw, ends this request alone, and its caller learns of it.
     */
    void step(final Runnable step) {
        try {
            step.run();
        } catch (final RuntimeException | StackOverflowError e) {
            Gateway.logError(request.id(), e);
            endAfter(e);
        }
    }

    private void endAfter(final Throwable error) {
        if (ended) {
            return;
        }
        final boolean mayHaveRun = attempts.mayHaveRun();
        try {
            cancelOpenAttempt();
            if (response.started()) {
                exchange.abort();
            } else {
                errors.respond(
                        mayHaveRun ? GatewayError.OUTCOME_UNKNOWN : GatewayError.INTERNAL,
                        Optional.empty());
            }
        } catch (final RuntimeException e) {
            error.addSuppressed(e);
            exchange.abort();
        } finally {
            finish("internal_error", 0);
        }
    }

    private void begin() {
        exchange.onClosed(() -> step(this::onCallerDisconnected));
        if (ended) {
            return;
        }
        exchange.onWritable(() -> step(() -> openAttempt.ifPresent(a -> a.pause(false))));
        if (rejectedAsQuarantined()) {
            return;
        }
        timer = Optional.of(schedule(this::onDeadline, remaining().toMillis()));
        final Optional<WeightedService> chosen = route.service(gateway.random().nextDouble());
        if (chosen.isEmpty()) {
            reject(GatewayError.NO_SERVER);
            return;
        }
        service = chosen.get().service();
        version = canary().choose(request.session(), request.id());
        final List<TrackedServer> candidates = candidates();
        if (forwarded && Forwarding.reachesNone(candidates)) {
            rejectAsNotReached();
            return;
        }
        final OptionalDouble excessiveWait =
                waitEstimator.excessiveWaitMillis(service, candidates, models.model(), remaining());
        if (excessiveWait.isPresent()) {
            countRequest();
            rejectForWait(excessiveWait.getAsDouble());
        } else {
            startAttempt();
        }
    }

    /** Counts the request for the retry budget of the VM that sends it to a backend server. */
    private void countRequest() {
        if (!counted) {
            counted = true;
            gateway.state().retryBudget(service).onRequest();
        }
    }

    /** Rejects a request that this VM does not pass on any more, if nothing has run. */
    private void rejectAsStopping() {
        if (response.started() || attempts.mayHaveRun()) {
            giveUp();
        } else if (forwarded) {
            rejectAsNotReached();
        } else {
            reject(GatewayError.STOPPING);
        }
    }

    /** Rejects a forwarded request as not sent, so that the other VM tries another one. */
    private void rejectAsNotReached() {
        errors.notReached();
        finish(GatewayError.NO_ELIGIBLE_SERVER);
    }

    private void rejectForWait(final double waitMillis) {
        errors.waitTooLong(waitMillis, remaining());
        finish(GatewayError.OVERLOADED);
    }

    /** Rejects the request if it is quarantined and no trial, and returns whether it did. */
    private boolean rejectedAsQuarantined() {
        if (!trialOf.isEmpty() && attempts.sent() == 0) {
            return false;
        }
        final Optional<Duration> rejection = gateway.crashes().rejectionTime(fingerprints);
        if (rejection.isEmpty()) {
            return false;
        }
        trialOf = attempts.sent() == 0 ? gateway.crashes().takeTrial(fingerprints) : Set.of();
        if (!trialOf.isEmpty()) {
            return false;
        }
        rejectQuarantined(rejection.get());
        return true;
    }

    /** Rejects the request as not run only if no backend server may have run it. */
    private void rejectQuarantined(final Duration remainingQuarantine) {
        if (response.started() || attempts.mayHaveRun()) {
            giveUp();
            return;
        }
        errors.quarantined(remainingQuarantine);
        finish(GatewayError.QUARANTINED);
    }

    /** Cancels the request if it has just been quarantined and no response has started. */
    void cancelIfQuarantined(final Fingerprint quarantined) {
        if (ended || response.started() || fingerprints.all().noneMatch(quarantined::equals)) {
            return;
        }
        dropKept();
        if (openAttempt.isPresent()) {
            abandonOpenAttempt(AttemptEnd.UNKNOWN);
        }
        log.attemptFailed(AttemptEnd.UNKNOWN, "request quarantined", elapsedMillis());
        giveUp();
    }

    private boolean canMeetDeadline(final ModelId model) {
        final List<TrackedServer> candidates = candidates();
        // The few requests that limited servers accept go to callers without an answer.
        if (candidates.stream().allMatch(server -> server.limit().isPresent())) {
            return false;
        }
        final OptionalDouble wait =
                waitEstimator.minWaitMillis(service, candidates, Optional.of(model));
        return wait.isEmpty() || wait.getAsDouble() < remaining().toMillis();
    }

    private List<TrackedServer> candidates() {
        return gateway.state().candidates(service, version.toNew());
    }

    CallerRequest request() {
        return request;
    }

    RequestFingerprints fingerprints() {
        return fingerprints;
    }

    Route route() {
        return route;
    }

    Canary canary() {
        return gateway.state().canary(service);
    }

    /** Returns whether the request goes to the new version of a rollout. */
    boolean usesNewVersion() {
        return version.toNew();
    }

    CallerResponse response() {
        return response;
    }

    Gateway gateway() {
        return gateway;
    }

    ServiceName service() {
        return service;
    }

    long elapsedMillis() {
        return now() - arrivedMillis;
    }

    /**
     * Handles a response that was sent to the caller.
     *
     * @param head its head
     * @param certainlyComplete whether the response itself shows that it is complete
     */
    void onDelivered(final ResponseHead head, final boolean certainlyComplete) {
        openAttempt = Optional.empty();
        if (head.isSuccess() && certainlyComplete) {
            gateway.crashes().onResponse(fingerprints);
        }
        confidence = head.confidence();
        finish("answered", head.status());
    }

    /**
     * Handles an attempt that ended without success.
     *
     * @param end what is known of its end
     * @param detail the cause, for the log
     * @param fallback what to do if the request is not retried
     */
    void onFailed(final AttemptEnd end, final String detail, final Runnable fallback) {
        afterFailure(end, detail, this::mayRetry, fallback);
    }

    private void afterFailure(
            final AttemptEnd end,
            final String detail,
            final Predicate<AttemptEnd> mayRetry,
            final Runnable fallback) {
        openAttempt = Optional.empty();
        attempts.end(end);
        log.attemptFailed(end, detail, elapsedMillis());
        if (ended) {
            return;
        }
        if (mayRetry.test(end)) {
            startAttempt();
        } else if (!takeUpKept()) {
            fallback.run();
        }
    }

    /** Starts an attempt through another VM. */
    void sendThrough(final ForwardedAttempt attempt) {
        final int servers = attempts.remaining();
        attempts.beginForwarded();
        openAttempt = Optional.of(attempt);
        log.forwarded(service, attempt.peer(), notSent, remaining());
        attempt.send(remaining(), response.lastEventId().or(request::lastEventId), servers);
        checkOverlap(attempt);
    }

    /** Handles a complete response of a backend server that another VM passed on. */
    void onForwarded(final ResponseHead head) {
        attempts.end(AttemptEnd.FORWARDED);
        gateway.metrics().attempt(service.value(), "FORWARDED");
        openAttempt = Optional.empty();
        confidence = head.confidence();
        finish("forwarded", head.status());
    }

    /**
     * Handles an attempt through another VM that ended without a response of a backend server.
     *
     * @param end what is known of its end
     * @param detail the cause, for the log
     * @param fallback what to do if the request is not retried
     */
    void onForwardingFailed(final AttemptEnd end, final String detail, final Runnable fallback) {
        gateway.metrics().attempt(service.value(), "FORWARDED_" + end.name());
        afterFailure(end, detail, this::mayRetryAfterForwarding, fallback);
    }

    /** Another VM that did not send the request says nothing about this VM's own connections. */
    private boolean mayRetryAfterForwarding(final AttemptEnd end) {
        return end == AttemptEnd.NOT_SENT
                ? attempts.maySend() && !remaining().isNegative() && response.mayContinue()
                : mayRetry(end);
    }

    /**
     * Handles the rejection of a forwarded request, which the other VM did not run and never will.
     *
     * @param rejection the head of that VM's response
     * @param body its body
     * @param detail the cause, for the log
     */
    void onPeerRejected(final ResponseHead rejection, final byte[] body, final String detail) {
        openAttempt = Optional.empty();
        attempts.end(AttemptEnd.REJECTED);
        log.attemptFailed(AttemptEnd.REJECTED, detail, elapsedMillis());
        if (ended) {
            return;
        }
        if (response.started() || attempts.mayHaveRun() || rejection.status() != UNAVAILABLE) {
            giveUp();
            return;
        }
        response.complete(rejection, body);
        finish("rejected_by_another_vm", rejection.status());
    }

    /**
     * Decides whether to set a response that has started aside and try a larger model.
     *
     * @param attempt the open attempt
     * @param head the head of its response
     */
    void onResponse(final Attempt attempt, final ResponseHead head) {
        final Optional<ModelId> nextModel =
                models.nextModel(head.confidence(), this::canMeetDeadline);
        final boolean keep =
                response.started()
                        || nextModel.isEmpty()
                        || attempts.sent() >= route.maxServers()
                        || !gateway.state().retryBudget(service).tryRetry();
        if (keep) {
            return;
        }
        log.responseDropped(modelName(), head.confidence(), nextModel.get(), elapsedMillis());
        setAside(attempt, AttemptEnd.DROPPED, "larger model " + nextModel.get() + " asked");
        models.escalate(nextModel.get());
        startAttempt();
    }

    /** Keeps the open attempt beside the next one until that one is taken. */
    private void setAside(final Attempt attempt, final AttemptEnd end, final String detail) {
        dropKept();
        attempts.setAside();
        openAttempt = Optional.empty();
        kept = Optional.of(new KeptAttempt(attempt, end, detail, models.model()));
        attempt.setAside();
    }

    /** Handles the head of a response with which a backend server has taken the request. */
    void onTaken() {
        dropKept();
    }

    /** Ends the attempt that was set aside, if there is one. */
    private void dropKept() {
        if (kept.isEmpty()) {
            return;
        }
        final KeptAttempt dropped = kept.get();
        kept = Optional.empty();
        attempts.endAside(dropped.end());
        if (dropped.end() == AttemptEnd.DROPPED) {
            dropped.attempt().drop();
        } else {
            dropped.attempt().cancel();
            log.attemptFailed(dropped.end(), dropped.detail(), elapsedMillis());
        }
    }

    /** Takes up the attempt that was set aside, and returns whether there was one. */
    private boolean takeUpKept() {
        if (kept.isEmpty()) {
            return false;
        }
        final KeptAttempt taken = kept.get();
        kept = Optional.empty();
        attempts.takeUp();
        openAttempt = Optional.of(taken.attempt());
        taken.model().ifPresent(models::escalate);
        log.attemptKept(Takeover.KeptBecause.NOT_TAKEN, taken.detail(), elapsedMillis());
        taken.attempt().takeUp();
        return true;
    }

    /**
     * Ends the attempt that was set aside once the request has been at another backend server for
     * long enough to be rejected.
     */
    private void checkOverlap(final OpenAttempt other) {
        if (kept.isEmpty() || !openAttempt.filter(open -> open == other).isPresent()) {
            return;
        }
        final Duration overlap = other.sinceWritten().orElse(Duration.ZERO);
        final Duration left = KeptAttempt.MAX_OVERLAP.minus(overlap);
        if (left.isNegative() || left.isZero()) {
            dropKept();
        } else {
            schedule(() -> checkOverlap(other), left.toMillis() + 1);
        }
    }

    /**
     * Searches another backend server for a request whose open attempt exceeded its inactivity
     * timeout.
     *
     * @param silent the open attempt
     * @param detail what was observed, for the log
     */
    void onInactive(final Attempt silent, final String detail) {
        if (takeover.isEmpty()) {
            takeover = Optional.of(new Takeover(this, permits, log));
        }
        takeover.get().start(silent, detail);
    }

    /** Returns why the request may not be sent to another backend server, empty if it may. */
    Optional<Takeover.KeptBecause> obstacleToMove() {
        if (!route.retryable() || attempts.remaining() == 0 || !response.mayContinue()) {
            return Optional.of(Takeover.KeptBecause.NO_FURTHER_ATTEMPT);
        }
        if (!exit.passes()) {
            return Optional.of(Takeover.KeptBecause.STOPPING);
        }
        return gateway.crashes().rejectionTime(fingerprints).isPresent()
                ? Optional.of(Takeover.KeptBecause.QUARANTINED)
                : Optional.empty();
    }

    /** Chooses a backend server that the request was not sent to. */
    Optional<TrackedServer> chooseOther(final Job job) {
        final List<TrackedServer> others =
                candidates().stream()
                        .filter(s -> !asked.contains(s.entry().incarnation()))
                        .toList();
        return gateway.placement().choose(others, job, false, permits::isDenied);
    }

    /** Returns whether the request may be sent to a backend server that was chosen before. */
    boolean mayUse(final TrackedServer server) {
        return candidates().contains(server);
    }

    boolean tryRetry() {
        return gateway.state().retryBudget(service).tryRetry();
    }

    /** Returns how many idle connections to each backend server of the service are kept. */
    int maxIdleConnections() {
        return gateway.state().connectionShare(service).maxIdleConnections();
    }

    Job job() {
        return waitEstimator.job(service, models.model());
    }

    /** Sets the open attempt aside and sends the request to another backend server. */
    void move(
            final Attempt silent,
            final TrackedServer server,
            final Job job,
            final Permit permit,
            final String detail) {
        setAside(silent, AttemptEnd.UNKNOWN, detail);
        testsLoad = false;
        send(server, job, candidates().size(), permit);
    }

    /** Ends the request with the error that follows from its attempts. */
    void giveUp() {
        if (takeUpKept()) {
            return;
        }
        if (response.started()) {
            abortResponse("stream_broken");
        } else if (attempts.mayHaveRun()) {
            reject(GatewayError.OUTCOME_UNKNOWN);
        } else if (attempts.sent() > 0) {
            reject(GatewayError.REJECTED);
        } else if (forwarded) {
            rejectAsNotReached();
        } else {
            finish(errors.noServer(service));
        }
    }

    private boolean mayRetry(final AttemptEnd end) {
        if (!attempts.maySend() || remaining().isNegative() || remaining().isZero()) {
            return false;
        }
        if (!response.mayContinue()) {
            return false;
        }
        if (end == AttemptEnd.NOT_SENT) {
            notSent++;
            return notSent < MAX_NOT_SENT;
        }
        return tryRetry();
    }

    private void startAttempt() {
        if (rejectedAsQuarantined()) {
            return;
        }
        if (!exit.passes()) {
            rejectAsStopping();
            return;
        }
        // Since the attempt before, a rollout may have moved all traffic, and the servers of the
        // former version may have stopped.
        version = canary().choose(request.session(), request.id());
        final List<TrackedServer> candidates = candidatesForAttempt();
        if (forwarding.start(candidates, notSent)) {
            gateway.recoveryProbe().probeDue(candidates);
            return;
        }
        countRequest();
        final boolean mayProbe = mayProbe();
        if (!mayProbe) {
            gateway.recoveryProbe().probeDue(candidates);
        }
        final Job job = job();
        final List<TrackedServer> tested = drawForLoadTest(candidates, job);
        testsLoad = !tested.isEmpty();
        final Optional<TrackedServer> server =
                gateway.placement()
                        .choose(testsLoad ? tested : candidates, job, mayProbe, this::isExcluded);
        if (server.isEmpty()) {
            giveUp();
        } else if (permits.isExhausted(server.get())) {
            rejectAsSaturated();
        } else if (permits.isNeeded(server.get(), job)) {
            permits.request(
                    server.get(), remaining(), p -> step(() -> onPermit(server.get(), job, p)));
        } else {
            passOn(server.get(), job, candidates.size(), Permit.NONE);
        }
    }

    /** A request that is kept at a silent backend server goes only to those it was not sent to. */
    private List<TrackedServer> candidatesForAttempt() {
        final List<TrackedServer> all = candidates();
        return kept.filter(k -> k.end() == AttemptEnd.UNKNOWN).isEmpty()
                ? all
                : all.stream().filter(s -> !asked.contains(s.entry().incarnation())).toList();
    }

    private boolean isExcluded(final TrackedServer server) {
        return attempts.tried(server.entry().id()) || permits.isDenied(server);
    }

    /** Returns the backend servers that the request tests under load, if it takes part. */
    private List<TrackedServer> drawForLoadTest(
            final List<TrackedServer> candidates, final Job job) {
        if (!version.toNew()
                || attempts.sent() > 0
                || !canary().mayTestLoad()
                || !gateway.policy().uses(Mechanism.LOAD_TESTS)) {
            return List.of();
        }
        return gateway.loadTest()
                .draw(
                        gateway.state().servers().usable(service),
                        candidates,
                        job,
                        route.objective(),
                        this::isExcluded,
                        s -> canary().mayTestLoad(s.entry().id(), s.entry().version()));
    }

    private void rejectAsSaturated() {
        if (response.started() || attempts.mayHaveRun()) {
            giveUp();
            return;
        }
        errors.saturated(permits.retryAfter());
        finish(GatewayError.OVERLOADED);
    }

    /** Sends the request, unless it has ended or the backend servers have changed meanwhile. */
    private void onPermit(final TrackedServer server, final Job job, final Permit permit) {
        final List<TrackedServer> candidates = ended ? List.of() : candidates();
        final boolean mayUse = candidates.contains(server) && !(permit instanceof Permit.Denied);
        if (mayUse) {
            passOn(server, job, candidates.size(), permit);
            return;
        }
        giveBack(permit);
        if (!ended) {
            startAttempt();
        }
    }

    private static void giveBack(final Permit permit) {
        if (permit instanceof Permit.Granted granted) {
            granted.giveBack().run(Optional.empty());
        }
    }

    /** Sends the request, unless it would probably not end before the exit. */
    private void passOn(
            final TrackedServer server, final Job job, final int candidates, final Permit permit) {
        if (exit.passesAt(server, job)) {
            send(server, job, candidates, permit);
        } else {
            giveBack(permit);
            rejectAsStopping();
        }
    }

    private void send(
            final TrackedServer server, final Job job, final int candidates, final Permit permit) {
        attempts.begin(server.entry().id());
        asked.add(server.entry().incarnation());
        final AttemptMetadata metadata =
                new AttemptMetadata(
                        server.entry(),
                        remaining(),
                        access.map(TeamAccess::team),
                        sentPriority(),
                        models.model(),
                        response.lastEventId().or(request::lastEventId));
        final long expectedMillis = Math.round(gateway.placement().waitMillis(server, job));
        log.sent(server, loggedChoice(), candidates, metadata, expectedMillis);
        if (!server.warmUpLeft().isZero()) {
            gateway.metrics().sentToWarmingUp(service.value());
        }
        final Attempt attempt =
                new Attempt(this, server, latencyEstimator(), job.readMillis(), permit);
        openAttempt = Optional.of(attempt);
        attempt.send(metadata);
        checkOverlap(attempt);
    }

    private VersionChoice loggedChoice() {
        return testsLoad ? new VersionChoice(true, VersionChoice.Reason.LOAD_TEST) : version;
    }

    /** Returns whether the open attempt tests a backend server under load. */
    boolean testsLoad() {
        return testsLoad;
    }

    /**
     * Only streams that have not started may be sent to a backend server whose recovery is
     * uncertain: a failed connection uses up little of their latency objective.
     */
    private boolean mayProbe() {
        return isStream() && route.retryable() && !response.started();
    }

    /** Returns the priority to send; requests without a prompt have none. */
    private OptionalInt sentPriority() {
        if (request.prompt().isEmpty() || !gateway.policy().uses(Mechanism.URGENCY)) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(priority);
    }

    Optional<ModelId> model() {
        return models.model();
    }

    private LatencyEstimator latencyEstimator() {
        return gateway.state().latencyEstimator(service, models.model());
    }

    private void onFirstByte() {
        log.firstByte(elapsedMillis());
        gateway.metrics().firstByte(route.name(), elapsedMillis());
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        final boolean mayHaveRun = attempts.mayHaveRun();
        cancelOpenAttempt();
        if (response.started()) {
            abortResponse("timeout_in_stream");
        } else {
            reject(mayHaveRun ? GatewayError.TIMEOUT : GatewayError.TIMEOUT_NOT_RUN);
        }
    }

    /** Ends the request, unless its response has started, with what is known of it. */
    void respondBeforeExit() {
        if (ended || response.started()) {
            return;
        }
        final boolean mayHaveRun = attempts.mayHaveRun();
        cancelOpenAttempt();
        if (mayHaveRun) {
            reject(GatewayError.OUTCOME_UNKNOWN);
        } else {
            rejectAsStopping();
        }
    }

    /** Ends the request; a response that has started is broken off. */
    void endAtExit() {
        respondBeforeExit();
        if (!ended) {
            cancelOpenAttempt();
            abortResponse("stopped_in_stream");
        }
    }

    private void onCallerDisconnected() {
        if (ended) {
            return;
        }
        cancelOpenAttempt();
        finish("caller_gone", 0);
    }

    private void abandonOpenAttempt(final AttemptEnd end) {
        cancelOpenAttempt();
        attempts.end(end);
    }

    private String modelName() {
        return models.model().map(ModelId::value).orElse("-");
    }

    private void cancelOpenAttempt() {
        dropKept();
        openAttempt.ifPresent(OpenAttempt::cancel);
        openAttempt = Optional.empty();
    }

    private void reject(final GatewayError error) {
        errors.respond(error, Optional.ofNullable(service));
        finish(error);
    }

    private void finish(final GatewayError error) {
        finish(error.reason(), error.status());
    }

    private void abortResponse(final String outcome) {
        exchange.abort();
        finish(outcome, 0);
    }

    private void finish(final String outcome, final int status) {
        if (ended) {
            return;
        }
        ended = true;
        dropKept();
        if (attempts.sent() == 0) {
            gateway.crashes().returnTrial(trialOf);
        }
        timer.ifPresent(t -> t.cancel(false));
        gateway.onRequestEnded(this);
        gateway.metrics().end(route.name(), outcome, elapsedMillis());
        log.finished(outcome, status, modelName(), confidence, elapsedMillis());
    }

    boolean isStream() {
        return route.kind() == RouteKind.STREAM;
    }

    Duration remaining() {
        return Duration.ofMillis(deadlineMillis - now());
    }

    ScheduledFuture<?> schedule(final Runnable task, final long millis) {
        return exchange.eventLoop().schedule(() -> step(task), millis, TimeUnit.MILLISECONDS);
    }

    private long now() {
        return gateway.state().clock().millis();
    }
}
