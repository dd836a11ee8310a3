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
import org.fennelstage.control.ClaimAnswer;
import org.fennelstage.control.Claims;
import org.fennelstage.control.Share;
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
 * One request to a profile, from its admission to its outcome.
 *
 * <p>Invariants: exactly one outcome; a non-idempotent request is sent at most once, and only while
 * this run holds its claim; "not run" is told only if no byte of the request was sent and none will
 * be; the end of an answer is shown only after its bill is in two memories. Confined to the event
 * loop of the caller's connection.
 */
final class ChatRun {

    private static final Duration NO_BACKEND_RETRY = Duration.ofSeconds(2);
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Services services;
    private final LoopContext loop;
    private final ServerExchange exchange;
    private final Team team;
    private final Profile profile;
    private final ChatRequest request;
    private final Optional<Session> session;
    private final RequestId id;
    private final Configuration configuration;
    private final long startNanos = System.nanoTime();
    private final Attempts attempts;
    private final ChatAnswer answer;
    private final Duration limit;
    private ScheduledFuture<?> deadlineTimer;
    private ModelVersion version;
    private Optional<Rollout> exposure = Optional.empty();
    private Optional<ModelVersion> fallback = Optional.empty();
    private double costOfDropped;
    private long attemptNanos = startNanos;
    private boolean claimed;

    private boolean ended;

    ChatRun(
            final Services services,
            final LoopContext loop,
            final ServerExchange exchange,
            final Team team,
            final Profile profile,
            final ChatRequest request,
            final Optional<Session> session,
            final RequestId id) {
        this.services = services;
        this.loop = loop;
        this.exchange = exchange;
        this.team = team;
        this.profile = profile;
        this.request = request;
        this.session = session;
        this.id = id;
        this.configuration = services.configuration().get();
        this.attempts = new Attempts(services.workers(), loop.client(), services.ledger()::changed);
        this.limit =
                request.deadline()
                        .filter(d -> d.compareTo(profile.deadline()) < 0)
                        .orElse(profile.deadline());
        this.answer = new ChatAnswer(exchange, id, profile.id(), request.stream());
    }

    /** Begins; the request has been admitted. */
    void start() {
        services.metrics().begin();
        deadlineTimer =
                exchange.eventLoop()
                        .schedule(this::onDeadline, limit.toMillis(), TimeUnit.MILLISECONDS);
        exchange.onClosed(this::onCallerGone);
        if (ended) {
            return;
        }
        exchange.onWritable(() -> attempts.pause(false));
        chooseVersion();
    }

    private void chooseVersion() {
        final VersionChooser.Choice choice =
                session.map(s -> VersionChooser.choose(configuration, team, s, services.rollouts()))
                        .orElseGet(
                                () ->
                                        VersionChooser.choose(
                                                configuration,
                                                team,
                                                chooseModel(),
                                                services.rollouts()));
        if (choice instanceof VersionChooser.Choice.Rejected refused) {
            end(refused.outcome());
        } else if (choice instanceof VersionChooser.Choice.Chosen chosen) {
            version = chosen.version();
            exposure = chosen.completedRollout();
            final Optional<Rollout> trial =
                    chosen.runningRollout().filter(r -> fallback.isEmpty()).filter(this::isSampled);
            if (trial.isPresent()) {
                askForShare(trial.get());
            } else {
                claim();
            }
        }
    }

    private ModelId chooseModel() {
        // A session stays on one version and a non-idempotent request runs once, so neither may be
        // answered by two models in turn.
        final boolean mayRunTwice = profile.idempotent() && request.session().isEmpty();
        final Cascades.Stage stage =
                services.cascades().choose(configuration, team, profile, mayRunTwice, limit, id);
        fallback = stage.fallback();
        if (fallback.isPresent()) {
            answer.hold();
        }
        return stage.model();
    }

    private boolean isSampled(final Rollout rollout) {
        final String key = rollout.id() + "/" + id;
        return Ratings.fraction(key) < services.rollouts().share(rollout);
    }

    private void askForShare(final Rollout rollout) {
        services.rollouts()
                .request(rollout)
                .thenAccept(share -> onLoop(() -> onShare(rollout, share)));
    }

    private void onShare(final Rollout rollout, final Share share) {
        final Optional<ModelVersion> candidate = configuration.version(rollout.candidate());
        if (share.granted() && candidate.isPresent()) {
            version = candidate.get();
            exposure = Optional.of(rollout);
            services.rollouts().exposed(rollout.id());
        }
        claim();
    }

    private void claim() {
        if (profile.idempotent()) {
            dispatch();
            return;
        }
        services.claims()
                .take(claimKey(), id)
                .thenAccept(result -> Loops.run(exchange.eventLoop(), () -> onClaim(result)));
    }

    private void onClaim(final ClaimAnswer result) {
        if (result instanceof ClaimAnswer.Refused refused) {
            end(Duplicates.outcome(refused.held()));
            return;
        }
        claimed = true;
        if (ended) {
            // The caller left or the deadline passed while the claim was on its way. Nothing was
            // sent, so the key is given back; kept, it would block the caller's next attempt.
            giveClaimBack();
        } else if (result instanceof ClaimAnswer.Unavailable unavailable) {
            EventLog.write(Event.CLAIM_UNAVAILABLE, "request", id, "detail", unavailable.detail());
            end(
                    Outcome.notRun(
                            Reason.CLAIM_UNAVAILABLE,
                            "at-most-once cannot be ensured at present: " + unavailable.detail(),
                            NO_BACKEND_RETRY));
        } else {
            dispatch();
        }
    }

    private void dispatch() {
        if (ended) {
            return;
        }
        if (attempts.isFirst()) {
            services.retries().onFirstAttempt();
        }
        // The declarations may have changed while the share or the claim was on its way; a version
        // withdrawn meanwhile must not get this request.
        final Configuration now = services.configuration().get();
        final boolean usable =
                now.version(version.id())
                        .filter(v -> session.isPresent() ? v.acceptsSession() : v.acceptsNew())
                        .isPresent();
        if (!usable) {
            end(notRunOrUnknown("version " + version.id() + " was withdrawn"));
            return;
        }
        final List<BackendServer> candidates =
                loop.pool(now, version.id())
                        .candidates(EngineRequest.prefix(request), attempts.tried(), loop.random());
        new Placement(
                        services.ledger(),
                        services.workers(),
                        exchange.eventLoop(),
                        candidates,
                        this::onPlaced)
                .start();
    }

    private void onPlaced(final Optional<BackendServer> server) {
        if (ended) {
            server.ifPresent(this::giveSlotBack);
            return;
        }
        if (server.isEmpty()) {
            endWithoutServer();
            return;
        }
        services.metrics().sent(version.id());
        answer.onChosen(version.id(), server.get().id(), explanation(), team.explain());
        attemptNanos = System.nanoTime();
        attempts.sendTo(
                server.get(),
                Attempts.options(profile.deadline(), profile.idempotent()),
                () -> EngineRequest.of(exchange, request, profile, version.id(), id),
                new ChatListener(this));
    }

    private void giveSlotBack(final BackendServer server) {
        final int left = services.workers().state(server.id()).inFlight().decrementAndGet();
        services.ledger().changed(server.id(), left);
    }

    private void endWithoutServer() {
        final String detail = "no backend server for version " + version.id();
        end(notRunOrUnknown(detail));
    }

    private String explanation() {
        if (session.isPresent()) {
            return "session";
        }
        if (fallback.isPresent() || costOfDropped > 0) {
            return "cascade";
        }
        return exposure.map(r -> "rollout " + r.id()).orElse("proven");
    }

    private String claimKey() {
        return Claims.key(team.id(), request.idempotencyKey().orElseThrow());
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        attempts.cancel();
        end(
                attempts.mayHaveRun()
                        ? lateAfterSending()
                        : Outcome.notRun(
                                Reason.DEADLINE,
                                "the deadline passed before the request ran",
                                NO_BACKEND_RETRY));
    }

    private Outcome lateAfterSending() {
        return answer.hasBegun()
                ? new Outcome.FailedAfterRun("the deadline passed during the answer")
                : new Outcome.Unknown("the deadline passed before an answer came");
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        attempts.cancel();
        end(new Outcome.Unknown("the caller went away"));
    }

    void onFailure(final CallFailure failure) {
        attempts.onFailure(failure);
        final boolean notSent = failure.phase() == CallFailure.Phase.NOT_SENT;
        if (!notSent) {
            judge(Signal.ERROR, true);
        }
        final boolean repeatable = notSent || (profile.idempotent() && !answer.hasBegun());
        if (repeatable && tryAgain(failure.detail())) {
            return;
        }
        if (notSent) {
            end(notRunOrUnknown(failure.detail()));
        } else if (failure.phase() == CallFailure.Phase.MAYBE_SENT) {
            end(new Outcome.Unknown("the backend server gave no answer: " + failure.detail()));
        } else {
            end(new Outcome.FailedAfterRun("the answer broke off: " + failure.detail()));
        }
    }

    void onErrorStatus(final int status) {
        final boolean refused = status == NOT_FOUND || status == TOO_MANY || status == UNAVAILABLE;
        if (refused) {
            attempts.drop();
        } else {
            attempts.cancel();
            judge(Signal.ERROR, true);
        }
        final String detail = "the backend server answered " + status;
        if ((refused || profile.idempotent()) && tryAgain(detail)) {
            return;
        }
        if (refused) {
            end(notRunOrUnknown(detail));
        } else {
            end(new Outcome.FailedAfterRun(detail));
        }
    }

    private Outcome notRunOrUnknown(final String detail) {
        return attempts.mayHaveRun()
                ? new Outcome.Unknown(detail + "; an earlier attempt may have run")
                : Outcome.notRun(Reason.NO_BACKEND, detail, NO_BACKEND_RETRY);
    }

    private boolean tryAgain(final String detail) {
        if (ended || !attempts.mayTryAgain() || !services.retries().tryRetry()) {
            return false;
        }
        EventLog.write(Event.REQUEST_RETRIED, "request", id, "detail", detail);
        services.metrics().retried();
        if (fallback.isPresent()) {
            useFallback();
        } else if (exposure.isPresent()) {
            // The candidate failed this caller once; the proven version answers the next attempt.
            final Optional<ModelVersion> proven =
                    configuration.version(exposure.get().proven()).filter(ModelVersion::acceptsNew);
            exposure = Optional.empty();
            proven.ifPresent(v -> version = v);
        }
        dispatch();
        return true;
    }

    private void judge(final Signal signal, final boolean isBad) {
        exposure.ifPresent(r -> services.rollouts().judged(r.id(), signal, isBad));
    }

    void onWholeAnswer() {
        attempts.onAnswer();
        attempts.release();
        judge(Signal.ERROR, false);
        judge(Signal.TRUNCATION, answer.isTruncated());
        final double taken = (System.nanoTime() - attemptNanos) / NANOS_PER_SECOND;
        services.cascades().answered(profile, version.id(), answer.confidence(), taken);
        rate();
        if (fallback.isPresent()) {
            final boolean isGoodEnough =
                    services.cascades()
                            .accepts(
                                    profile,
                                    version.id(),
                                    fallback.get().id(),
                                    answer.confidence());
            if (!isGoodEnough) {
                costOfDropped = cost();
                useFallback();
                dispatch();
                return;
            }
            onFirstToken();
            answer.accept();
        }
        if (!profile.idempotent()) {
            services.claims().done(claimKey(), id);
        }
        final Bill bill =
                new Bill(
                        id,
                        team.id(),
                        profile.id(),
                        version.id(),
                        answer.tokens(),
                        costOfDropped + cost(),
                        services.clock().millis());
        services.bills().record(bill).thenAccept(done -> onLoop(this::finishAnswer));
    }

    /** Takes one piece of the answer. */
    void onPiece(final JsonNode piece) {
        if (!answer.hasBegun() && !answer.isHeld()) {
            onFirstToken();
        }
        answer.add(piece);
    }

    /** Reads no more of the answer while the caller takes it too slowly. */
    void slowDown() {
        if (!exchange.isWritable()) {
            attempts.pause(true);
        }
    }

    private void finishAnswer() {
        final Optional<String> token =
                SessionIssue.token(configuration.keys(), request, session, team, version.id());
        answer.finish(token);
        end(new Outcome.Complete());
    }

    private void onFirstToken() {
        services.metrics().firstToken(profile.id(), seconds());
        judge(Signal.LATE, seconds() * 1000 > profile.firstToken().toMillis());
    }

    private double cost() {
        return answer.tokens() * version.costPerThousandTokens() / 1000;
    }

    /** Lets the best version answer; the cheap answer is dropped. */
    private void useFallback() {
        fallback.ifPresent(v -> version = v);
        fallback = Optional.empty();
        answer.drop();
    }

    private void rate() {
        final Optional<Rollout> rollout = exposure;
        final VersionId rated = version.id();
        final double confidence = answer.confidence();
        services.ratings()
                .rate(
                        loop.client(),
                        id.value(),
                        answer.text(),
                        rating -> {
                            services.cascades().rated(profile, rated, confidence, rating);
                            rollout.ifPresent(
                                    r ->
                                            services.rollouts()
                                                    .judged(
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
        deadlineTimer.cancel(false);
        services.admission().end(team);
        services.metrics().end(profile.id(), team.id(), outcome, seconds());
        if (outcome instanceof Outcome.NotRun && claimed) {
            giveClaimBack();
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
            answer.fail(outcome);
        }
    }

    private void giveClaimBack() {
        services.claims().release(claimKey(), id);
    }

    private double seconds() {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    private void onLoop(final Runnable action) {
        Loops.run(
                exchange.eventLoop(),
                () -> {
                    if (!ended) {
                        action.run();
                    }
                });
    }
}
