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
import org.fennelstage.attempt.Pace;
import org.fennelstage.canary.Canary;
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
import org.fennelstage.sizing.SizePlan;

/**
 * One request from its arrival to its one end.
 *
 * <p>Invariants: the caller gets exactly one answer or a broken connection; at most one attempt is
 * open; whether another may be made, and whether "not run" may be said, is decided by {@link
 * AttemptLog} alone. Confined to the event loop.
 */
final class RequestRun {

    /** What a model thinks of its answer, 0 to 100. */
    private record Opinion(ModelId model, int value) {}

    /** Refused callers come back over at least this long; milliseconds. */
    private static final double LEAST_SPREAD_MILLIS = 200;

    /** Attempts that fail before anything is sent; more means that the network is at fault. */
    private static final int MOST_NOT_SENT = 4;

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final CallerRequest request;
    private final Route route;
    private final Optional<TeamAccess> access;
    private final AttemptLog attempts;
    private final RequestLog log;
    private final SizePlan sizes;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final CallerAnswer answer;
    private Optional<Attempt> open = Optional.empty();
    private Optional<Opinion> firstOpinion = Optional.empty();
    private Optional<ScheduledFuture<?>> timer = Optional.empty();
    private ServiceName service;
    private OptionalInt confidence = OptionalInt.empty();
    private boolean toNew;
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
        this.attempts = AttemptLog.of(route.repeatable(), route.maxServers());
        this.log = new RequestLog(request, route, configuration.version(), attempts);
        this.sizes = SizePlan.of(route, gateway.beliefs().opinions(route.name()), gateway.policy());
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
        timer = Optional.of(schedule(this::onDeadline, remaining().toMillis()));
        final Optional<WeightedService> chosen = route.service(gateway.random().nextDouble());
        if (chosen.isEmpty()) {
            refuse(Refusal.NO_SERVER);
            return;
        }
        service = chosen.get().service();
        toNew = canary().toNew(sessionKey());
        gateway.beliefs().budget(service).onRequest();
        final OptionalDouble hopeless = hopelessWaitMillis();
        if (hopeless.isPresent()) {
            refuseHopeless(hopeless.getAsDouble());
        } else {
            attempt();
        }
    }

    /**
     * Returns the wait for the first byte if it is longer than the caller will wait. Such a request
     * would take a worker's time from others and end unanswered.
     */
    private OptionalDouble hopelessWaitMillis() {
        if (!gateway.policy().uses(Mechanism.EARLY_REFUSAL)) {
            return OptionalDouble.empty();
        }
        final OptionalDouble wait = leastWaitMillis(sizes.model());
        return wait.isPresent() && wait.getAsDouble() > remaining().toMillis()
                ? wait
                : OptionalDouble.empty();
    }

    /** Comes back when the work that is ahead now will have shrunk to what a caller waits for. */
    private void refuseHopeless(final double waitMillis) {
        final Duration drained = Duration.ofMillis(Math.round(waitMillis) - remaining().toMillis());
        log.hopeless(Math.round(waitMillis), remaining().toMillis());
        gateway.respond(exchange, request.id(), Refusal.NO_ROOM, drained.plus(spread(drained)));
        finish(Refusal.NO_ROOM.reason(), Refusal.NO_ROOM.status());
    }

    /** Callers that are refused together must not come back together. */
    private Duration spread(final Duration drained) {
        final double widest = Math.max(LEAST_SPREAD_MILLIS, drained.toMillis());
        return Duration.ofMillis((long) (gateway.random().nextDouble() * widest));
    }

    private boolean canBeInTime(final ModelId model) {
        final OptionalDouble wait = leastWaitMillis(Optional.of(model));
        return wait.isEmpty() || wait.getAsDouble() < remaining().toMillis();
    }

    private OptionalDouble leastWaitMillis(final Optional<ModelId> model) {
        if (!gateway.beliefs().pace(service, model).known()) {
            return OptionalDouble.empty();
        }
        return gateway.placement()
                .leastWaitMillis(gateway.beliefs().candidates(service, toNew), job(model));
    }

    CallerRequest request() {
        return request;
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
        noteOpinion(head.confidence());
        final Optional<ModelId> better = sizes.better(head.confidence(), this::canBeInTime);
        final boolean stays =
                answer.started()
                        || better.isEmpty()
                        || attempts.sent() >= route.maxServers()
                        || !gateway.beliefs().budget(service).tryRepeat();
        if (stays) {
            return false;
        }
        abandonOpen(AttemptEnd.DROPPED);
        log.dropped(modelName(), head.confidence(), better.get(), elapsedMillis());
        sizes.escalate(better.get());
        attempt();
        return true;
    }

    /** Learns from a request that was put to two models what the smaller one's opinion tells. */
    private void noteOpinion(final OptionalInt opinion) {
        if (opinion.isEmpty() || sizes.model().isEmpty()) {
            return;
        }
        final ModelId model = sizes.model().get();
        if (firstOpinion.isEmpty()) {
            firstOpinion = Optional.of(new Opinion(model, opinion.getAsInt()));
        } else if (!firstOpinion.get().model().equals(model)) {
            final Opinion first = firstOpinion.get();
            gateway.beliefs()
                    .opinions(route.name())
                    .onBoth(first.model(), first.value(), model, opinion.getAsInt());
        }
    }

    /**
     * Asks another worker in place of one that has been silent for too long, if the request may be
     * sent again and there is another.
     *
     * @param detail what was seen, for the log
     */
    void onSilent(final String detail) {
        final boolean stays =
                !route.repeatable()
                        || attempts.sent() >= route.maxServers()
                        || !hasOtherServer()
                        || !gateway.beliefs().budget(service).tryRepeat();
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
        } else {
            refuse(attempts.sent() > 0 ? Refusal.REJECTED : Refusal.NO_SERVER);
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
        return gateway.beliefs().budget(service).tryRepeat();
    }

    private void attempt() {
        final List<TrackedServer> candidates = gateway.beliefs().candidates(service, toNew);
        final Job job = job(sizes.model());
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
        canary().onSent(sessionKey(), server.entry().version());
        final Dispatch dispatch =
                new Dispatch(
                        server.entry(),
                        remaining(),
                        access.map(TeamAccess::team),
                        rank(),
                        sizes.model(),
                        answer.lastEventId().or(request::lastEventId));
        final long expectedMillis = Math.round(gateway.placement().waitMillis(server, job));
        log.sent(server, candidates, dispatch, expectedMillis);
        final Attempt attempt = new Attempt(this, server, pace(), job.readMillis());
        open = Optional.of(attempt);
        attempt.send(dispatch);
    }

    /**
     * A stream that has not begun loses little by one connection in vain; a plain request has an
     * objective about as long as that.
     */
    private boolean mayProbe() {
        return isStream() && route.repeatable() && !answer.started();
    }

    private boolean hasOtherServer() {
        return gateway.beliefs().candidates(service, toNew).stream()
                .filter(s -> !attempts.tried(s.entry().id()))
                .anyMatch(s -> s.health().tier() != ServerHealth.Tier.UNREACHABLE);
    }

    /** A plain service knows no ranks. */
    private OptionalInt rank() {
        if (request.prompt().isEmpty() || !gateway.policy().uses(Mechanism.URGENCY)) {
            return OptionalInt.empty();
        }
        final OptionalInt teamRank = access.map(TeamAccess::priority).orElse(OptionalInt.empty());
        return OptionalInt.of(route.rank(teamRank));
    }

    private Pace pace() {
        return gateway.beliefs().pace(service, sizes.model());
    }

    private Job job(final Optional<ModelId> model) {
        final Pace pace = gateway.beliefs().pace(service, model);
        final boolean sharing = gateway.policy().uses(Mechanism.MEMORY_AFFINITY);
        return new Job(
                request.prompt(), model, sharing, pace.readMillisPerToken(), pace.answerMillis());
    }

    /** A session's requests follow one another; a request without one stands for itself. */
    private String sessionKey() {
        return request.session().orElse(request.id());
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
        return sizes.model().map(ModelId::value).orElse("-");
    }

    private void cancelOpen() {
        open.ifPresent(Attempt::cancel);
        open = Optional.empty();
    }

    private void refuse(final Refusal refusal) {
        gateway.respond(exchange, request.id(), refusal);
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
