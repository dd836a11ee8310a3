package org.fennelstage.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.attempt.BaselineFailureRate;
import org.fennelstage.attempt.Inactivity;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.canary.Canary;
import org.fennelstage.canary.ResponseKind;
import org.fennelstage.canary.ResponseObservation;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.Call;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.ConnectionPolicy;
import org.fennelstage.http.ResponseListener;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.placement.Prompt;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.speed.EventTimer;
import org.fennelstage.speed.SampleKind;

/**
 * One attempt of a request at one backend server.
 *
 * <p>Invariant: it reports exactly one end to its {@link RequestExecution}, or none if it was
 * cancelled, and reduces the backend server's count of running requests exactly once.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class Attempt implements ResponseListener, OpenAttempt {

    /**
     * Connect timeout, short enough that another backend server can still meet the latency
     * objective.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);

    /**
     * Maximum idle time of a connection that is reused for a request that must not be retried; zero
     * forces a new one. A backend server may drop an idle connection, some after 300 ms and without
     * notice, and then it is unknown whether the request ran. A new connection costs about 1 ms.
     */
    private static final Duration MAX_IDLE_NON_RETRYABLE = Duration.ZERO;

    /**
     * Time between the request's deadline, at which the attempt is normally cancelled, and the
     * timeout of its call.
     */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(500);

    /**
     * Inactivity after which an attempt at a restarted backend server is silent; milliseconds.
     * Longer than a response of the new incarnation takes to start: the restart becomes known some
     * 250 ms late, and the attempt may have reached the new incarnation.
     */
    private static final long RESTART_GRACE_MILLIS = 500;

    /** Maximum idle time of a connection that is reused for a request that may be retried. */
    static final Duration MAX_IDLE_RETRYABLE = Duration.ofSeconds(4);

    /**
     * How long a new connection is kept open before it is used, by a request that must not be
     * retried or that gives up another attempt for it, so that the reset of a backend server at its
     * connection limit arrives first.
     */
    static final Duration FIRST_USE_DELAY = Duration.ofMillis(5);

    private static final double NANOS_PER_MILLI = 1_000_000;

    private final RequestExecution execution;
    private final TrackedServer server;
    private final LatencyEstimator latencyEstimator;
    private final long prefillMillis;
    private final Permit permit;
    private final double aheadPerSlot;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventSplitter events = new EventSplitter(this::onEvent);
    private final Optional<EventTimer> eventTimer;
    private final ResponseObservation observation;
    private Optional<ResponseHead> head = Optional.empty();
    private Call call;
    private long sentMillis;
    private long sentClockMillis;
    private long lastByteMillis;
    private long headMillis;
    private int eventCount;
    private final BufferedBytes buffered;
    private boolean promptRead;
    private boolean endsWithConnection;
    private boolean flowing;
    private boolean brokenReported;
    private Optional<Queue<Runnable>> aside = Optional.empty();
    private boolean ended;

    Attempt(
            final RequestExecution execution,
            final TrackedServer server,
            final LatencyEstimator latencyEstimator,
            final long prefillMillis,
            final Permit permit) {
        this.execution = execution;
        this.server = server;
        this.latencyEstimator = latencyEstimator;
        this.prefillMillis = prefillMillis;
        this.permit = permit;
        this.aheadPerSlot = aheadPerSlot();
        this.eventTimer =
                execution.gateway().usesSpeeds() ? Optional.of(new EventTimer()) : Optional.empty();
        this.observation = observe();
        this.buffered = new BufferedBytes(execution.gateway().memory().responses());
    }

    private ResponseObservation observe() {
        final Canary canary = execution.canary();
        final BackendServerId id = server.entry().id();
        final String version = server.entry().version();
        final ResponseKind kind = new ResponseKind(execution.route().name(), execution.model());
        return execution.testsLoad()
                ? canary.observeLoadTest(id, version, kind, execution.isStream())
                : canary.observe(
                        id, version, kind, execution.isStream(), server.warmUpLeft().isZero());
    }

    /**
     * Returns how many requests have to end before this one can start, per slot; zero for a prompt,
     * which engines run in a batch.
     */
    private double aheadPerSlot() {
        if (execution.request().prompt().isPresent()) {
            return 0;
        }
        final int capacity = Math.max(1, server.entry().capacity());
        final int ahead =
                permit instanceof Permit.Granted granted
                        ? Math.max(0, granted.decision().requests() - capacity)
                        : execution.gateway().placement().requestsAhead(server);
        return ahead / (double) capacity;
    }

    void send(final AttemptMetadata metadata) {
        server.begin(prefillMillis);
        sentMillis = now();
        sentClockMillis = execution.gateway().state().clock().millis();
        final CallOptions options =
                new CallOptions(
                        CONNECT_TIMEOUT,
                        metadata.remaining().plus(DEADLINE_MARGIN),
                        connectionPolicy(),
                        headers -> codec().matchesRequest(headers, execution.request().id()));
        call =
                execution
                        .gateway()
                        .client()
                        .send(
                                Sockets.address(server.entry().address()),
                                codec().encode(execution.request(), metadata),
                                options,
                                new StepListener(execution, this));
        lastByteMillis = sentMillis;
        execution.gateway().attempts().add(this);
    }

    private ConnectionPolicy connectionPolicy() {
        final int maxIdleConnections = execution.maxIdleConnections();
        return execution.route().retryable()
                ? new ConnectionPolicy(MAX_IDLE_RETRYABLE, maxIdleConnections, Duration.ZERO)
                : new ConnectionPolicy(MAX_IDLE_NON_RETRYABLE, maxIdleConnections, FIRST_USE_DELAY);
    }

    RequestExecution execution() {
        return execution;
    }

    @Override
    public void cancel() {
        if (release(false) && call != null) {
            call.cancel();
        }
    }

    /**
     * Sets the attempt aside: from now on it neither acts nor reads, and what arrives nevertheless
     * waits for {@link #takeUp}.
     */
    void setAside() {
        aside = Optional.of(new ArrayDeque<>());
        pause(true);
    }

    /** Continues after {@link #setAside} with what has arrived meanwhile. */
    void takeUp() {
        final Queue<Runnable> arrived = aside.orElseThrow();
        aside = Optional.empty();
        pause(false);
        while (!arrived.isEmpty() && aside.isEmpty()) {
            arrived.remove().run();
        }
        aside.ifPresent(later -> later.addAll(arrived));
    }

    /** Cancels the attempt because a larger model has taken the request after it responded. */
    void drop() {
        recordHealth(false);
        cancel();
    }

    @Override
    public Optional<Duration> sinceWritten() {
        return call.sinceWritten();
    }

    @Override
    public void pause(final boolean pause) {
        call.pause(pause);
        if (pause) {
            observation.onPaused();
        }
        setFlowing(!pause);
    }

    /**
     * Excludes a paused response from the detection of inactivity, since its bytes wait unread on
     * this VM.
     */
    private void setFlowing(final boolean nowFlowing) {
        if (flowing == nowFlowing || (nowFlowing && (ended || head.isEmpty()))) {
            return;
        }
        flowing = nowFlowing;
        if (nowFlowing) {
            lastByteMillis = now();
            eventTimer.ifPresent(timer -> timer.onResumed(lastByteMillis));
            server.beginResponse();
        } else {
            eventTimer.ifPresent(EventTimer::onPaused);
            server.endResponse();
        }
    }

    @Override
    public void onHead(final int status, final HttpHeaders headers) {
        if (aside.isPresent()) {
            aside.get().add(() -> onHead(status, headers));
            return;
        }
        onByte();
        markPromptRead();
        latencyEstimator.onFirstByte(now() - sentMillis, promptTokens());
        final ResponseHead decoded = codec().decodeResponse(status, headers);
        head = Optional.of(decoded);
        endsWithConnection =
                Framing.endsWithConnection(execution.request().method(), status, headers);
        applyServerState(decoded);
        headMillis = now();
        setFlowing(true);
        if (decoded.isSuccess()) {
            observation.onFirstByte();
        }
        if (decoded.trust() == ResponseHead.Trust.SIGNED && decoded.isSuccess()) {
            execution.onTaken();
        }
        if (decoded.isSuccess()) {
            execution.onResponse(this, decoded);
        }
    }

    /** Applies what the backend server reports of its own state with the response. */
    private void applyServerState(final ResponseHead decoded) {
        if (decoded.draining()) {
            execution.gateway().onServerDraining(server);
        }
        execution.gateway().onBrittleReported(execution.service(), decoded.brittle());
        decoded.rejectsFor().ifPresent(time -> execution.gateway().onRejecting(server, time));
        if (decoded.limit().isPresent()) {
            execution.gateway().onLimitReported(server, decoded.limit().get());
        } else if (decoded.isSuccess()) {
            execution.gateway().onUnlimitedResponse(server, sentClockMillis);
        }
    }

    @Override
    public void onContent(final ByteBuf content) {
        if (ended) {
            return;
        }
        onByte();
        if (aside.isPresent()) {
            final byte[] bytes = ByteBufUtil.getBytes(content);
            aside.get().add(() -> onBytes(Unpooled.wrappedBuffer(bytes)));
        } else {
            onBytes(content);
        }
    }

    private void onBytes(final ByteBuf content) {
        if (ended) {
            return;
        }
        if (!buffered.tryAdd(content.readableBytes())) {
            onTooLarge();
        } else if (isStreaming()) {
            events.feed(content);
            buffered.keep(ended ? 0 : events.pendingBytes());
        } else {
            body.writeBytes(ByteBufUtil.getBytes(content));
        }
    }

    private void onTooLarge() {
        call.cancel();
        recordHealth(true);
        fail(
                AttemptEnd.UNKNOWN,
                "response or event too large, over " + buffered.count() + " bytes");
    }

    @Override
    public void onEnd() {
        if (aside.isPresent()) {
            aside.get().add(this::onEnd);
            return;
        }
        final ResponseHead response = head.orElseThrow();
        switch (response.trust()) {
            case REJECTED -> onRejected(response);
            case UNSIGNED -> fail(AttemptEnd.UNKNOWN, "unsigned response " + response.status());
            case SIGNED -> onSigned(response);
        }
    }

    @Override
    public void onFailure(final CallFailure failure) {
        if (aside.isPresent()) {
            aside.get().add(() -> onFailure(failure));
            return;
        }
        if (failure.notSent()) {
            // A backend server that rejects a connection is healthy and at its connection limit.
            if (failure.phase() == CallFailure.Phase.NOT_SENT) {
                execution.gateway().onUnreachable(server);
            }
            fail(AttemptEnd.NOT_SENT, failure.detail());
        } else {
            if (!failure.reusedConnection()) {
                recordHealth(true);
            }
            reportBroken();
            final String startedBefore =
                    head.isEmpty() ? "" : ", response started " + millisSinceHead() + " ms before";
            fail(AttemptEnd.UNKNOWN, failure.phase() + ": " + failure.detail() + startedBefore);
        }
    }

    /**
     * Reports that the backend server may have crashed because of this request. Done once per
     * attempt, since each report probes the backend server.
     */
    private void reportBroken() {
        if (brokenReported) {
            return;
        }
        brokenReported = true;
        if (isSuspectOfCrash()) {
            execution.gateway().crashes().onBrokenResponse(server, execution.fingerprints());
        }
    }

    /** Returns whether the response has not begun, or had just begun at its last byte. */
    private boolean isSuspectOfCrash() {
        return head.isEmpty()
                || lastByteMillis - headMillis < CrashDetector.MAX_SUSPECT_RESPONSE_MILLIS;
    }

    /** Returns the time since the backend server started to respond; milliseconds. */
    private long millisSinceHead() {
        return now() - headMillis;
    }

    private void onByte() {
        lastByteMillis = now();
        server.health().onBytesReceived();
    }

    /** Returns whether the request was sent to the new version of a rollout. */
    boolean isOfNewVersion() {
        return execution.usesNewVersion();
    }

    /** Counts a response that has taken too long. To be called several times a second. */
    void checkDuration() {
        observation.check();
    }

    /**
     * Fails the attempt if the backend server neither responds nor closes its connection. To be
     * called several times a second. The timeout differs before and after the head of the response.
     */
    void checkInactivity() {
        if (ended || isPaused() || aside.isPresent()) {
            return;
        }
        if (isSilentAfterRestart()) {
            execution.onInactive(this, server.entry().id() + " restarted");
            return;
        }
        final Inactivity inactivity = inactivity();
        if (!inactivity.exceeds(inactivityTimeoutMillis())) {
            return;
        }
        final String detail =
                server.entry().id()
                        + " silent for "
                        + inactivity.serverMillis()
                        + " ms, this request "
                        + inactivity.requestMillis()
                        + " ms, responses started "
                        + inactivity.begunResponses();
        reportBroken();
        execution.gateway().onInactive(server);
        execution.onInactive(this, detail);
    }

    private Inactivity inactivity() {
        return new Inactivity(
                now() - lastByteMillis,
                server.health().millisSinceLastByte(),
                server.stalledMillis(),
                usesStallDetection() ? server.begunResponses() : 0);
    }

    /** Returns whether the attempt is open and has exceeded its inactivity timeout. */
    boolean isSilent() {
        return !ended
                && !isPaused()
                && (isSilentAfterRestart() || inactivity().exceeds(inactivityTimeoutMillis()));
    }

    /**
     * Returns whether a later incarnation of the backend server has registered, and no response
     * will probably arrive. That is no reason to end the attempt while its connection is open: the
     * entry may be wrong, or the former process still be at work.
     */
    private boolean isSilentAfterRestart() {
        return server.isSuperseded() && now() - lastByteMillis >= RESTART_GRACE_MILLIS;
    }

    private boolean usesStallDetection() {
        return execution.gateway().policy().uses(Mechanism.STALL_WATCH);
    }

    private boolean isPaused() {
        return head.isPresent() && !flowing;
    }

    private long inactivityTimeoutMillis() {
        return head.isEmpty()
                ? latencyEstimator.firstByteTimeoutMillis(promptTokens())
                : latencyEstimator.nextByteTimeoutMillis(execution.route().maxPause().toMillis());
    }

    private int promptTokens() {
        return execution.request().prompt().map(Prompt::promptTokens).orElse(0);
    }

    private void onRejected(final ResponseHead response) {
        fail(AttemptEnd.REJECTED, "rejected with " + response.status());
    }

    private void onSigned(final ResponseHead response) {
        if (isStreaming() && isStreamBroken()) {
            recordHealth(true);
            reportBroken();
            fail(AttemptEnd.UNKNOWN, "stream ended within an event");
            return;
        }
        final boolean failed = response.isServerFailure();
        recordHealth(failed);
        if (response.isSuccess()) {
            sampleWhole();
        }
        latencyEstimator.onEnd(now() - sentMillis, aheadPerSlot);
        observation.onEnd(failed);
        if (endsWithConnection && isSuspectOfCrash()) {
            execution.gateway().crashes().onEndedWithConnection(server, execution.fingerprints());
        }
        // A stream that has begun has the head of another response, and can only go on or break.
        if (failed || (execution.response().started() && !isStreaming())) {
            final byte[] content = body.toByteArray();
            fail(
                    AttemptEnd.FAILED,
                    "failed with " + response.status(),
                    () -> deliverFailure(content));
        } else if (!isStreaming()) {
            deliver(response, body.toByteArray());
        } else {
            release(true);
            execution.response().end(response);
            execution.onDelivered(response, !endsWithConnection);
        }
    }

    /**
     * Returns whether a stream that has ended is not whole: it ended within an event, or with its
     * connection before any event.
     */
    private boolean isStreamBroken() {
        return events.hasPartial() || (endsWithConnection && eventCount == 0);
    }

    /**
     * Forwards an error response of the backend server, unless the caller already has a part of a
     * stream.
     */
    private void deliverFailure(final byte[] content) {
        if (execution.response().started()) {
            execution.giveUp();
            return;
        }
        deliver(head.orElseThrow(), content);
    }

    private void deliver(final ResponseHead response, final byte[] content) {
        release(response.isSuccess());
        execution.response().complete(response, content);
        execution.onDelivered(response, !endsWithConnection);
    }

    private void onEvent(final byte[] event, final Optional<String> id) {
        eventCount++;
        observation.onEvent();
        if (eventTimer.isPresent()) {
            final Optional<EventTimer.Sample> sample = eventTimer.get().onEvent(now());
            if (sample.isPresent()) {
                sampleStream(sample.get());
            }
        }
        if (!execution.response().event(head.orElseThrow(), event, id)) {
            pause(true);
        }
    }

    private void fail(final AttemptEnd end, final String detail) {
        fail(end, detail, execution::giveUp);
    }

    private void fail(final AttemptEnd end, final String detail, final Runnable fallback) {
        if (release(false)) {
            execution.gateway().metrics().attempt(execution.service().value(), end.name());
            execution.onFailed(end, server.entry().id() + " " + detail, fallback);
        }
    }

    /**
     * Marks the prompt as read, or as no longer to be read if the attempt ended: in both cases
     * later requests need not wait for it.
     */
    private void markPromptRead() {
        if (!promptRead) {
            promptRead = true;
            server.onPromptRead(prefillMillis);
        }
    }

    private boolean release(final boolean served) {
        if (ended) {
            return false;
        }
        ended = true;
        observation.close();
        buffered.keep(0);
        setFlowing(false);
        execution.gateway().attempts().remove(this);
        markPromptRead();
        server.end();
        if (permit instanceof Permit.Granted granted) {
            final Optional<Duration> sinceWritten = served ? call.sinceWritten() : Optional.empty();
            granted.giveBack().run(sinceWritten.map(granted::atServer));
        }
        return true;
    }

    private void sampleStream(final EventTimer.Sample sample) {
        execution
                .gateway()
                .onSpeedSample(
                        server,
                        SampleKind.ofStream(execution.service(), execution.model()),
                        sample.millisPerEvent(),
                        sample.weight());
    }

    /**
     * Takes a sample of a whole response. The time of one with a prompt that is not a stream
     * depends on its length and is none.
     */
    private void sampleWhole() {
        if (isStreaming()) {
            eventTimer.flatMap(EventTimer::onEnd).ifPresent(this::sampleStream);
        } else if (execution.gateway().usesSpeeds() && execution.request().prompt().isEmpty()) {
            call.sinceWritten()
                    .map(
                            total ->
                                    permit instanceof Permit.Granted granted
                                            ? granted.atServer(total)
                                            : total)
                    .map(atServer -> atServer.toNanos() / NANOS_PER_MILLI / (1 + aheadPerSlot))
                    .filter(millis -> millis > 0)
                    .ifPresent(
                            millis ->
                                    execution
                                            .gateway()
                                            .onSpeedSample(
                                                    server,
                                                    SampleKind.ofRoute(
                                                            execution.service(),
                                                            execution.route().name(),
                                                            server.entry().dataCentre()),
                                                    millis,
                                                    1));
        }
    }

    private void recordHealth(final boolean failed) {
        final BaselineFailureRate baseline =
                execution.gateway().state().baselineFailureRate(execution.route().name());
        server.health().onEnd(failed, baseline.rate());
        baseline.onResponse(failed);
    }

    private boolean isStreaming() {
        return execution.isStream() && head.map(ResponseHead::isSuccess).orElse(false);
    }

    private WireCodec codec() {
        return execution.gateway().codec();
    }

    /** Returns the time by the clock of what this VM observes; milliseconds. */
    private long now() {
        return execution.gateway().state().listening().millis();
    }
}
