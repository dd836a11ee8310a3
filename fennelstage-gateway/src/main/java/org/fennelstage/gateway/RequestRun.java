package org.fennelstage.gateway;

import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.attempt.AttemptLog;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.VersionChoice;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.fleet.ServerHealth;
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
 * One request from its arrival to its one end.
 *
 * <p>Invariants: the caller gets exactly one answer or a broken connection; at most one attempt is
 * open; whether another may be made, and whether "not run" may be said, is decided by {@link
 * AttemptLog} alone. Confined to the event loop.
 */
final class RequestRun {

    /** Attempts that fail before anything is sent; more means that the network is at fault. */
    private static final int MOST_NOT_SENT = 4;

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final CallerRequest request;
    private final Route route;
    private final Optional<TeamAccess> access;
    private final AttemptLog attempts;
    private final Fingerprint content;
    private final RequestLog log;
    private final ModelChoice models;
    private final Outlook outlook;
    private final RefusedAnswer refused;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final CallerAnswer answer;
    private Optional<Attempt> open = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private ServiceName service;
    private OptionalInt confidence = OptionalInt.empty();
    private VersionChoice version;
    private int notSent;
    private boolean ended;

    RequestRun(
            final Gateway gateway,
            final ServerExchange exchange,
            final CallerRequest request,
            final ServingConfiguration configuration,
            final Route route,
            final Optional<TeamAccess> access) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.request = request;
        this.route = route;
        this.access = access;
        this.attempts = AttemptLog.of(route.retryable(), route.maxServers());
        this.content = request.fingerprint();
        this.log = new RequestLog(request, content, route, configuration.version(), attempts);
        this.models = ModelChoice.of(route, gateway);
        this.outlook = new Outlook(gateway, request);
        this.refused = new RefusedAnswer(gateway, exchange, request.id(), outlook, log);
        this.arrivedMillis = now();
        final Duration allowed =
                request.deadline()
                        .filter(d -> d.compareTo(route.timeout()) < 0)
                        .orElse(route.timeout());
        this.deadlineMillis = arrivedMillis + allowed.toMillis();
        this.answer = new CallerAnswer(exchange, this::onFirstByte);
    }

    void start() {
        gateway.onBegin();
        exchange.onClosed(this::onCallerGone);
        if (ended) {
            return;
        }
        exchange.onWritable(() -> open.ifPresent(a -> a.pause(false)));
        if (refusedAsQuarantined()) {
            return;
        }
        timer = Optional.of(schedule(this::onDeadline, remaining().toMillis()));
        final Optional<WeightedService> chosen = route.service(gateway.random().nextDouble());
        if (chosen.isEmpty()) {
            refuse(Refusal.NO_SERVER);
            return;
        }
        service = chosen.get().service();
        version = canary().choose(request.session(), request.id());
        gateway.beliefs().budget(service).onRequest();
        final OptionalDouble hopeless =
                outlook.hopelessMillis(service, candidates(), models.model(), remaining());
        if (hopeless.isPresent()) {
            refuseHopeless(hopeless.getAsDouble());
        } else {
            attempt();
        }
    }

    private void refuseHopeless(final double waitMillis) {
        refused.hopeless(waitMillis, remaining());
        finish(Refusal.NO_ROOM);
    }

    /** Tells whether the request ends its workers and is refused for that. */
    private boolean refusedAsQuarantined() {
        final Optional<Duration> left = gateway.crashes().refusal(content);
        left.ifPresent(this::refuseQuarantined);
        return left.isPresent();
    }

    /** A worker that had the request before may have run it. */
    private void refuseQuarantined(final Duration left) {
        if (answer.started() || attempts.mayHaveRun()) {
            giveUp();
            return;
        }
        refused.quarantined(left);
        finish(Refusal.QUARANTINED);
    }

    /**
     * Takes the request back from its worker, if it is the one that is refused from now on and its
     * caller has nothing of an answer yet.
     */
    void withdraw(final Fingerprint refused) {
        if (ended || answer.started() || !content.equals(refused)) {
            return;
        }
        abandonOpen(AttemptEnd.UNKNOWN);
        log.attemptFailed(AttemptEnd.UNKNOWN, "withdrawn", elapsedMillis());
        giveUp();
    }

    private boolean canBeInTime(final ModelId model) {
        final OptionalDouble wait =
                outlook.leastWaitMillis(service, candidates(), Optional.of(model));
        return wait.isEmpty() || wait.getAsDouble() < remaining().toMillis();
    }

    private List<TrackedServer> candidates() {
        return gateway.beliefs().candidates(service, version.toNew());
    }

    CallerRequest request() {
        return request;
    }

    Fingerprint content() {
        return content;
    }

    Route route() {
        return route;
    }

    Canary canary() {
        return gateway.beliefs().canary(service);
    }

    CallerAnswer answer() {
        return answer;
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

    /** The attempt brought a whole answer that the caller has. */
    void onDelivered(final AnswerHead head) {
        open = Optional.empty();
        if (head.isSuccess()) {
            gateway.crashes().onAnswered(content);
        }
        confidence = head.confidence();
        finish("answered", head.status());
    }

    /**
     * The attempt ended without success.
     *
     * @param end what is known of it
     * @param detail why, for the log
     * @param instead what to do if the request is not sent again
     */
    void onFailed(final AttemptEnd end, final String detail, final Runnable instead) {
        open = Optional.empty();
        attempts.end(end);
        log.attemptFailed(end, detail, elapsedMillis());
        if (ended) {
            return;
        }
        if (maySendAgain(end)) {
            attempt();
        } else {
            instead.run();
        }
    }

    /**
     * Decides whether an answer that begins is taken, or dropped for one of a larger model.
     *
     * @param head the head of the answer
     * @return true if it was dropped
     */
    boolean dropped(final AnswerHead head) {
        final Optional<ModelId> better = models.better(head.confidence(), this::canBeInTime);
        final boolean stays =
                answer.started()
                        || better.isEmpty()
                        || attempts.sent() >= route.maxServers()
                        || !gateway.beliefs().budget(service).tryRetry();
        if (stays) {
            return false;
        }
        abandonOpen(AttemptEnd.DROPPED);
        log.dropped(modelName(), head.confidence(), better.get(), elapsedMillis());
        models.escalate(better.get());
        attempt();
        return true;
    }

    /**
     * Asks another worker in place of one that has been silent for too long, if the request may be
     * sent again and there is another.
     *
     * @param detail what was seen, for the log
     */
    void onSilent(final String detail) {
        final boolean stays =
                !route.retryable()
                        || attempts.sent() >= route.maxServers()
                        || !hasOtherServer()
                        || !gateway.beliefs().budget(service).tryRetry();
        if (stays) {
            return;
        }
        abandonOpen(AttemptEnd.UNKNOWN);
        log.attemptFailed(AttemptEnd.UNKNOWN, detail, elapsedMillis());
        attempt();
    }

    /** Ends the request with what is known of its attempts. */
    void giveUp() {
        if (answer.started()) {
            abort("stream_broken");
        } else if (attempts.mayHaveRun()) {
            refuse(Refusal.OUTCOME_UNKNOWN);
        } else if (attempts.sent() > 0) {
            refuse(Refusal.REJECTED);
        } else {
            finish(refused.withoutServer(service));
        }
    }

    private boolean maySendAgain(final AttemptEnd end) {
        if (!attempts.maySend() || remaining().isNegative() || remaining().isZero()) {
            return false;
        }
        if (end == AttemptEnd.NOT_SENT) {
            notSent++;
            return notSent < MOST_NOT_SENT;
        }
        return gateway.beliefs().budget(service).tryRetry();
    }

    private void attempt() {
        if (refusedAsQuarantined()) {
            return;
        }
        final List<TrackedServer> candidates = candidates();
        final Job job = outlook.job(service, models.model());
        final Optional<TrackedServer> server =
                gateway.placement()
                        .choose(candidates, job, mayProbe(), s -> attempts.tried(s.entry().id()));
        if (server.isEmpty()) {
            giveUp();
            return;
        }
        send(server.get(), job, candidates.size());
    }

    private void send(final TrackedServer server, final Job job, final int candidates) {
        attempts.begin(server.entry().id());
        final Dispatch dispatch =
                new Dispatch(
                        server.entry(),
                        remaining(),
                        access.map(TeamAccess::team),
                        rank(),
                        models.model(),
                        answer.lastEventId().or(request::lastEventId));
        final long expectedMillis = Math.round(gateway.placement().waitMillis(server, job));
        log.sent(server, version, candidates, dispatch, expectedMillis);
        if (!server.warmUpLeft().isZero()) {
            gateway.metrics().sentToCold(service.value());
        }
        final Attempt attempt = new Attempt(this, server, pace(), job.readMillis());
        open = Optional.of(attempt);
        attempt.send(dispatch);
    }

    /**
     * A stream that has not begun loses little by one connection in vain; a plain request has an
     * objective about as long as that.
     */
    private boolean mayProbe() {
        return isStream() && route.retryable() && !answer.started();
    }

    private boolean hasOtherServer() {
        return candidates().stream()
                .filter(s -> !attempts.tried(s.entry().id()))
                .anyMatch(s -> s.health().tier() != ServerHealth.Tier.UNREACHABLE);
    }

    /** A plain service knows no ranks. */
    private OptionalInt rank() {
        if (request.prompt().isEmpty() || !gateway.policy().uses(Mechanism.URGENCY)) {
            return OptionalInt.empty();
        }
        final OptionalInt teamRank = access.map(TeamAccess::priority).orElse(OptionalInt.empty());
        return OptionalInt.of(route.effectivePriority(teamRank));
    }

    private LatencyEstimator pace() {
        return gateway.beliefs().pace(service, models.model());
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
        cancelOpen();
        if (answer.started()) {
            abort("timeout_in_stream");
        } else {
            refuse(mayHaveRun ? Refusal.TOO_LATE : Refusal.TOO_LATE_NOT_RUN);
        }
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        cancelOpen();
        finish("caller_gone", 0);
    }

    private void abandonOpen(final AttemptEnd end) {
        cancelOpen();
        attempts.end(end);
    }

    private String modelName() {
        return models.model().map(ModelId::value).orElse("-");
    }

    private void cancelOpen() {
        open.ifPresent(Attempt::cancel);
        open = Optional.empty();
    }

    private void refuse(final Refusal refusal) {
        refused.plain(refusal, Optional.ofNullable(service));
        finish(refusal);
    }

    private void finish(final Refusal refusal) {
        finish(refusal.reason(), refusal.status());
    }

    private void abort(final String outcome) {
        exchange.abort();
        finish(outcome, 0);
    }

    private void finish(final String outcome, final int status) {
        if (ended) {
            return;
        }
        ended = true;
        timer.ifPresent(t -> t.cancel(false));
        gateway.onEnd();
        gateway.metrics().end(route.name(), outcome, elapsedMillis());
        log.finished(outcome, status, modelName(), confidence, elapsedMillis());
    }

    boolean isStream() {
        return route.kind() == RouteKind.STREAM;
    }

    private Duration remaining() {
        return Duration.ofMillis(deadlineMillis - now());
    }

    ScheduledFuture<?> schedule(final Runnable task, final long millis) {
        return exchange.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private long now() {
        return gateway.beliefs().clock().millis();
    }
}
