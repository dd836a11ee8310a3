package org.fennelstage.route;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fennelstage.backend.BackendServer;
import org.fennelstage.bill.Bill;
import org.fennelstage.configuration.Configuration;
import org.fennelstage.control.ClaimResult;
import org.fennelstage.control.Claims;
import org.fennelstage.control.ExposureReply;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VersionId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.model.VersionChooser;
import org.fennelstage.outcome.Outcome;
import org.fennelstage.outcome.Reason;
import org.fennelstage.profile.Profile;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.Signal;
import org.fennelstage.session.Session;
import org.fennelstage.team.Team;

/**
 * Executes one chat request, from its admission to its outcome.
 *
 * <p>Invariants: exactly one outcome is reported; a non-idempotent request is sent at most once,
 * and only while this execution holds its claim; "not run" is reported only if no byte of the
 * request was sent and none will be; the end of a response is sent only after its bill is held by
 * two VMs. Not thread-safe; confined to the event loop of the caller's connection.
 */
final class ChatExecution {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RouterComponents components;
    private final EventLoopContext loopContext;
    private final ServerExchange exchange;
    private final Team team;
    private final Profile profile;
    private final ChatRequest request;
    private final Optional<Session> session;
    private final RequestId id;
    private final Configuration configuration;
    private final long startNanos = System.nanoTime();
    private final Attempts attempts;
    private final ChatResponse response;
    private final Duration deadline;
    private final Runnable ending = this::endBeforeExit;
    private ScheduledFuture<?> deadlineTimer;
    private ModelVersion version;
    private Optional<Rollout> activeRollout = Optional.empty();
    private Optional<ModelVersion> fallback = Optional.empty();
    private double discardedCost;
    private long attemptStartNanos = startNanos;
    private boolean claimed;
    private boolean ended;

    ChatExecution(
            final RouterComponents components,
            final EventLoopContext loopContext,
            final ServerExchange exchange,
            final Team team,
            final Profile profile,
            final ChatRequest request,
            final Optional<Session> session,
            final RequestId id) {
        this.components = components;
        this.loopContext = loopContext;
        this.exchange = exchange;
        this.team = team;
        this.profile = profile;
        this.request = request;
        this.session = session;
        this.id = id;
        this.configuration = components.configuration().get();
        this.attempts =
                new Attempts(
                        components.serverStates(),
                        loopContext.client(),
                        components.ledger()::reportLoad);
        this.deadline =
                request.deadline()
                        .filter(d -> d.compareTo(profile.deadline()) < 0)
                        .orElse(profile.deadline());
        this.response = new ChatResponse(exchange, id, profile.id(), request.stream());
    }

    /** Starts the execution of a request that has been admitted. */
    void start() {
        components.metrics().begin();
        loopContext.onStarted(ending);
        deadlineTimer =
                exchange.eventLoop()
                        .schedule(this::onDeadline, deadline.toMillis(), TimeUnit.MILLISECONDS);
        exchange.onClosed(this::onCallerDisconnected);
        if (ended) {
            return;
        }
        exchange.onWritable(() -> attempts.pause(false));
        chooseVersion();
    }

    private void chooseVersion() {
        final VersionChooser.Choice choice =
                session.map(
                                s ->
                                        VersionChooser.choose(
                                                configuration, team, s, components.rollouts()))
                        .orElseGet(
                                () ->
                                        VersionChooser.choose(
                                                configuration,
                                                team,
                                                chooseModel(),
                                                components.rollouts()));
        if (choice instanceof VersionChooser.Choice.Rejected rejected) {
            end(rejected.outcome());
        } else if (choice instanceof VersionChooser.Choice.Chosen chosen) {
            version = chosen.version();
            activeRollout = chosen.completedRollout();
            final Optional<Rollout> sampledRollout =
                    chosen.runningRollout().filter(r -> fallback.isEmpty()).filter(this::isSampled);
            if (sampledRollout.isPresent()) {
                requestExposure(sampledRollout.get());
            } else {
                claim();
            }
        }
    }

    private ModelId chooseModel() {
        // A session stays on one version and a non-idempotent request runs at most once, so neither
        // may use a cascade of two models.
        final boolean mayRunTwice = profile.idempotent() && request.session().isEmpty();
        final Cascades.Stage stage =
                components
                        .cascades()
                        .choose(configuration, team, profile, mayRunTwice, deadline, id);
        fallback = stage.fallback();
        if (fallback.isPresent()) {
            response.startBuffering();
        }
        return stage.model();
    }

    private boolean isSampled(final Rollout rollout) {
        final String key = rollout.id() + "/" + id;
        return RatingClient.sampleFraction(key) < components.rollouts().newVersionShare(rollout);
    }

    private void requestExposure(final Rollout rollout) {
        components
                .rollouts()
                .requestExposure(rollout)
                .thenAccept(reply -> runUnlessEnded(() -> onExposureReply(rollout, reply)));
    }

    private void onExposureReply(final Rollout rollout, final ExposureReply reply) {
        final Optional<ModelVersion> newVersion = configuration.version(rollout.candidate());
        if (reply.granted() && newVersion.isPresent()) {
            version = newVersion.get();
            activeRollout = Optional.of(rollout);
            components.rollouts().recordExposure(rollout.id());
        }
        claim();
    }

    private void claim() {
        if (profile.idempotent()) {
            dispatch();
            return;
        }
        components
                .claims()
                .take(claimKey(), id)
                .thenAccept(result -> EventLoops.run(exchange.eventLoop(), () -> onClaim(result)));
    }

    private void onClaim(final ClaimResult result) {
        if (result instanceof ClaimResult.Conflict duplicate) {
            end(DuplicateRequests.outcome(duplicate.current()));
            return;
        }
        claimed = true;
        if (ended) {
            // The caller disconnected or the deadline passed while the claim was pending. Nothing
            // was sent, so the claim is released; otherwise it would block the caller's next
            // request.
            releaseClaim();
        } else if (result instanceof ClaimResult.Unavailable unavailable) {
            EventLog.write(Event.CLAIM_UNAVAILABLE, "request", id, "detail", unavailable.detail());
            end(
                    Outcome.notRun(
                            Reason.CLAIM_UNAVAILABLE,
                            "cannot claim the idempotency key: " + unavailable.detail(),
                            RETRY_AFTER));
        } else {
            dispatch();
        }
    }

    private void dispatch() {
        if (ended) {
            return;
        }
        if (attempts.isFirst()) {
            components.retries().onFirstAttempt();
        }
        // The configuration may have changed while the exposure or the claim was pending; a version
        // that was withdrawn in the meantime must not get this request.
        final Configuration latest = components.configuration().get();
        final boolean isUsable =
                latest.version(version.id())
                        .filter(v -> session.isPresent() ? v.acceptsSession() : v.acceptsNew())
                        .isPresent();
        if (!isUsable) {
            end(notRunOrUnknown("version " + version.id() + " was withdrawn"));
            return;
        }
        final List<BackendServer> candidates =
                loopContext
                        .pool(latest, version.id())
                        .candidates(
                                BackendRequest.prefixHash(request),
                                attempts.tried(),
                                loopContext.random());
        new Placement(
                        components.ledger(),
                        components.serverStates(),
                        exchange.eventLoop(),
                        candidates,
                        this::onPlaced)
                .start();
    }

    private void onPlaced(final Optional<BackendServer> server) {
        if (ended) {
            server.ifPresent(this::releaseSlot);
            return;
        }
        if (server.isEmpty()) {
            endWithoutServer();
            return;
        }
        components.metrics().sent(version.id());
        response.onServerChosen(version.id(), server.get().id(), explanation(), team.explain());
        attemptStartNanos = System.nanoTime();
        attempts.sendTo(
                server.get(),
                Attempts.options(profile.deadline(), profile.idempotent()),
                () -> BackendRequest.of(exchange, request, profile, version.id(), id),
                new ChatResponseListener(this));
    }

    private void releaseSlot(final BackendServer server) {
        final int inFlightLeft =
                components.serverStates().state(server.id()).inFlight().decrementAndGet();
        components.ledger().reportLoad(server.id(), inFlightLeft);
    }

    private void endWithoutServer() {
        final String detail = "no backend server available for version " + version.id();
        end(notRunOrUnknown(detail));
    }

    private String explanation() {
        if (session.isPresent()) {
            return "session";
        }
        if (fallback.isPresent() || discardedCost > 0) {
            return "cascade";
        }
        return activeRollout.map(r -> "rollout " + r.id()).orElse("proven");
    }

    private String claimKey() {
        return Claims.key(team.id(), request.idempotencyKey().orElseThrow());
    }

    private void onDeadline() {
        endEarly(Reason.DEADLINE, "the deadline passed");
    }

    private void endBeforeExit() {
        endEarly(Reason.SHUTTING_DOWN, "this VM stopped");
    }

    private void endEarly(final Reason reason, final String cause) {
        if (ended) {
            return;
        }
        attempts.cancel();
        if (!attempts.mayHaveRun()) {
            end(Outcome.notRun(reason, cause + " before the request ran", RETRY_AFTER));
        } else if (response.hasStarted()) {
            end(new Outcome.FailedAfterRun(cause + " during the response"));
        } else {
            end(new Outcome.Unknown(cause + " before a response arrived"));
        }
    }

    private void onCallerDisconnected() {
        if (ended) {
            return;
        }
        attempts.cancel();
        end(new Outcome.Unknown("the caller closed the connection"));
    }

    void onFailure(final CallFailure failure) {
        attempts.onFailure(failure);
        final boolean notSent = failure.phase() == CallFailure.Phase.NOT_SENT;
        if (!notSent) {
            recordSignal(Signal.ERROR, true);
        }
        final boolean retryable = notSent || (profile.idempotent() && !response.hasStarted());
        if (retryable && retry(failure.detail())) {
            return;
        }
        if (notSent) {
            end(notRunOrUnknown(failure.detail()));
        } else if (failure.phase() == CallFailure.Phase.MAYBE_SENT) {
            end(new Outcome.Unknown("the backend server sent no response: " + failure.detail()));
        } else {
            end(new Outcome.FailedAfterRun("the response was interrupted: " + failure.detail()));
        }
    }

    void onErrorStatus(final int status) {
        final boolean rejected =
                status == STATUS_NOT_FOUND
                        || status == STATUS_TOO_MANY_REQUESTS
                        || status == STATUS_UNAVAILABLE;
        if (rejected) {
            attempts.cancelCall();
        } else {
            attempts.cancel();
            recordSignal(Signal.ERROR, true);
        }
        final String detail = "the backend server responded with status " + status;
        if ((rejected || profile.idempotent()) && retry(detail)) {
            return;
        }
        if (rejected) {
            end(notRunOrUnknown(detail));
        } else {
            end(new Outcome.FailedAfterRun(detail));
        }
    }

    private Outcome notRunOrUnknown(final String detail) {
        return attempts.mayHaveRun()
                ? new Outcome.Unknown(detail + "; an earlier attempt may have run")
                : Outcome.notRun(Reason.NO_BACKEND, detail, RETRY_AFTER);
    }

    private boolean retry(final String detail) {
        if (ended || !attempts.mayRetry() || !components.retries().tryRetry()) {
            return false;
        }
        EventLog.write(Event.REQUEST_RETRIED, "request", id, "detail", detail);
        components.metrics().retried();
        if (fallback.isPresent()) {
            useFallback();
        } else if (activeRollout.isPresent()) {
            // The retry uses the current version, since the attempt with the new version failed.
            final Optional<ModelVersion> currentVersion =
                    configuration
                            .version(activeRollout.get().proven())
                            .filter(ModelVersion::acceptsNew);
            activeRollout = Optional.empty();
            currentVersion.ifPresent(v -> version = v);
        }
        dispatch();
        return true;
    }

    private void recordSignal(final Signal signal, final boolean isBad) {
        activeRollout.ifPresent(r -> components.rollouts().recordSignal(r.id(), signal, isBad));
    }

    void onResponseComplete() {
        attempts.onResponse();
        attempts.release();
        recordSignal(Signal.ERROR, false);
        recordSignal(Signal.TRUNCATION, response.isTruncated());
        final double responseSeconds = (System.nanoTime() - attemptStartNanos) / NANOS_PER_SECOND;
        components
                .cascades()
                .recordAnswer(profile, version.id(), response.confidence(), responseSeconds);
        requestRating();
        if (fallback.isPresent()) {
            final boolean isGoodEnough =
                    components
                            .cascades()
                            .accepts(
                                    profile,
                                    version.id(),
                                    fallback.get().id(),
                                    response.confidence());
            if (!isGoodEnough) {
                discardedCost = cost();
                useFallback();
                dispatch();
                return;
            }
            onFirstToken();
            response.releaseBuffered();
        }
        if (!profile.idempotent()) {
            components.claims().done(claimKey(), id);
        }
        final Bill bill =
                new Bill(
                        id,
                        team.id(),
                        profile.id(),
                        version.id(),
                        response.tokens(),
                        discardedCost + cost(),
                        components.clock().millis());
        components.bills().record(bill).thenAccept(done -> runUnlessEnded(this::finishResponse));
    }

    /** Handles one chunk of the response. */
    void onChunk(final JsonNode chunk) {
        if (!response.hasStarted() && !response.isBuffering()) {
            onFirstToken();
        }
        response.addChunk(chunk);
        if (response.isTooLong()) {
            attempts.cancel();
            end(new Outcome.FailedAfterRun("the answer is longer than a VM keeps"));
        }
    }

    /** Stops reading from the backend server while the caller's connection is not writable. */
    void applyBackpressure() {
        if (!exchange.isWritable()) {
            attempts.pause(true);
        }
    }

    private void finishResponse() {
        final Optional<String> token =
                SessionTokenIssuer.token(
                        configuration.keys(), request, session, team, version.id());
        response.finish(token);
        end(new Outcome.Complete());
    }

    private void onFirstToken() {
        components.metrics().firstToken(profile.id(), elapsedSeconds());
        recordSignal(Signal.LATE, elapsedSeconds() * 1000 > profile.firstToken().toMillis());
    }

    private double cost() {
        return response.tokens() * version.costPerThousandTokens() / 1000;
    }

    /** Switches to the fallback version and discards the buffered answer. */
    private void useFallback() {
        fallback.ifPresent(v -> version = v);
        fallback = Optional.empty();
        response.discardBuffered();
    }

    private void requestRating() {
        final Optional<Rollout> rollout = activeRollout;
        final VersionId ratedVersion = version.id();
        final double confidence = response.confidence();
        components
                .ratings()
                .rate(
                        loopContext.client(),
                        id.value(),
                        response.text(),
                        rating -> {
                            components
                                    .cascades()
                                    .recordRating(profile, ratedVersion, confidence, rating);
                            rollout.ifPresent(
                                    r ->
                                            components
                                                    .rollouts()
                                                    .recordSignal(
                                                            r.id(),
                                                            Signal.POOR_RATING,
                                                            profile.isPoor(rating)));
                        });
    }

    private void end(final Outcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        loopContext.onEnded(ending);
        deadlineTimer.cancel(false);
        components.admission().end(team);
        components.metrics().end(profile.id(), team.id(), outcome, elapsedSeconds());
        if (outcome instanceof Outcome.NotRun && claimed) {
            releaseClaim();
        }
        if (outcome instanceof Outcome.Unknown) {
            EventLog.write(Event.REQUEST_OUTCOME_UNKNOWN, "request", id);
        }
        EventLog.write(
                Event.REQUEST_ENDED,
                "request",
                id,
                "team",
                team.id(),
                "profile",
                profile.id(),
                "outcome",
                outcome.kind());
        if (!(outcome instanceof Outcome.Complete)) {
            response.fail(outcome);
        }
    }

    private void releaseClaim() {
        components.claims().release(claimKey(), id);
    }

    private double elapsedSeconds() {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    private void runUnlessEnded(final Runnable action) {
        EventLoops.run(
                exchange.eventLoop(),
                () -> {
                    if (!ended) {
                        action.run();
                    }
                });
    }
}
