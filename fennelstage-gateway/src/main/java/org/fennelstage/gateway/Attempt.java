package org.fennelstage.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.attempt.BaselineFailureRate;
import org.fennelstage.attempt.Inactivity;
import org.fennelstage.attempt.LatencyEstimator;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.Call;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.ConnectionPolicy;
import org.fennelstage.http.ResponseListener;
import org.fennelstage.placement.Prompt;
import org.fennelstage.policy.Mechanism;

/**
 * One attempt of a request at one worker.
 *
 * <p>Invariants: it reports exactly one end to its run, or none if it was cancelled; the worker's
 * count of running requests falls by one with it. Confined to the event loop.
 */
final class Attempt implements ResponseListener {

    /**
     * The longest wait for a connection. A worker in the same region answers in milliseconds; one
     * that does not in this time is cut off or stopped, and another can still meet the objective.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);

    /**
     * A request that must not be repeated goes out on a connection of its own. Servers drop
     * connections that rest, some after 300 ms and without a word; a request that is sent on one is
     * lost, and nobody can tell whether it ran. A new connection costs a millisecond.
     */
    private static final Duration MAX_IDLE_AT_MOST_ONCE = Duration.ZERO;

    /** The run's own deadline ends an attempt; this only frees a connection that it missed. */
    private static final Duration BEYOND_DEADLINE = Duration.ofMillis(500);

    /**
     * Silence after which a request is ended whose worker has started again under its id;
     * milliseconds. The news comes some 250 ms after the start, and a request sent in between is at
     * the new life: it has its bytes sooner than this, or is sent again.
     */
    private static final long FORMER_LIFE_MILLIS = 500;

    private static final Duration MAX_IDLE_REPEATABLE = Duration.ofSeconds(4);

    /**
     * How long a new connection stands before a request goes out on it that must not be repeated.
     * The reset of a worker that accepts no further connection comes a way there and back after the
     * connection, 2 ms between data centres of a region, and its own millisecond; a tenth of what
     * such a request takes at its worker.
     */
    private static final Duration SETTLING_AT_MOST_ONCE = Duration.ofMillis(5);

    private final RequestRun run;
    private final TrackedServer server;
    private final LatencyEstimator pace;
    private final long readMillis;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventSplitter events = new EventSplitter(this::onEvent);
    private Optional<AnswerHead> head = Optional.empty();
    private Call call;
    private long sentMillis;
    private long lastByteMillis;
    private long headMillis;
    private long firstEventMillis;
    private int eventCount;
    private boolean read;
    private boolean flowing;
    private boolean brokenNoted;
    private boolean ended;

    Attempt(
            final RequestRun run,
            final TrackedServer server,
            final LatencyEstimator pace,
            final long readMillis) {
        this.run = run;
        this.server = server;
        this.pace = pace;
        this.readMillis = readMillis;
    }

    void send(final Dispatch dispatch) {
        server.begin(readMillis);
        sentMillis = now();
        final CallOptions options =
                new CallOptions(
                        CONNECT_TIMEOUT,
                        dispatch.remaining().plus(BEYOND_DEADLINE),
                        connectionUse(),
                        headers -> codec().answers(headers, run.request().id()));
        call =
                run.gateway()
                        .client()
                        .send(
                                Sockets.address(server.entry().address()),
                                codec().encode(run.request(), dispatch),
                                options,
                                this);
        lastByteMillis = sentMillis;
        run.gateway().attempts().add(this);
    }

    private ConnectionPolicy connectionUse() {
        final int mostIdle =
                run.gateway().beliefs().connectionShare(run.service()).maxIdleConnections();
        return run.route().retryable()
                ? new ConnectionPolicy(MAX_IDLE_REPEATABLE, mostIdle, Duration.ZERO)
                : new ConnectionPolicy(MAX_IDLE_AT_MOST_ONCE, mostIdle, SETTLING_AT_MOST_ONCE);
    }

    RequestRun run() {
        return run;
    }

    /** Ends the attempt: the worker sees its connection close and drops the request. */
    void cancel() {
        if (release()) {
            call.cancel();
        }
    }

    /** Stops or resumes reading, as the caller takes the bytes. */
    void pause(final boolean pause) {
        call.pause(pause);
        setFlowing(!pause);
    }

    /** A paused answer says nothing of its worker: its bytes wait unread on this VM. */
    private void setFlowing(final boolean nowFlowing) {
        if (flowing == nowFlowing || (nowFlowing && (ended || head.isEmpty()))) {
            return;
        }
        flowing = nowFlowing;
        if (nowFlowing) {
            lastByteMillis = now();
            server.beginResponse();
        } else {
            server.endResponse();
        }
    }

    @Override
    public void onHead(final int status, final HttpHeaders headers) {
        onByte();
        noteRead();
        pace.onFirstByte(now() - sentMillis, promptTokens());
        final AnswerHead decoded = codec().decodeAnswer(status, headers);
        head = Optional.of(decoded);
        noteOwnWord(decoded);
        headMillis = now();
        setFlowing(true);
        if (decoded.isSuccess() && run.dropped(decoded)) {
            noteHealth(false);
        }
    }

    /** Takes what the worker says of itself beside its answer. */
    private void noteOwnWord(final AnswerHead decoded) {
        if (decoded.leaving()) {
            run.gateway().onLeaving(server);
        }
        decoded.wantsNothingFor().ifPresent(time -> run.gateway().onTurnedAway(server, time));
    }

    @Override
    public void onContent(final ByteBuf content) {
        if (ended) {
            return;
        }
        onByte();
        if (streams()) {
            events.feed(content);
        } else {
            body.writeBytes(ByteBufUtil.getBytes(content));
        }
    }

    @Override
    public void onEnd() {
        final AnswerHead answer = head.orElseThrow();
        switch (answer.trust()) {
            case REJECTED -> onRejected(answer);
            case UNSIGNED -> fail(AttemptEnd.UNKNOWN, "unsigned answer " + answer.status());
            case SIGNED -> onSigned(answer);
        }
    }

    @Override
    public void onFailure(final CallFailure failure) {
        if (failure.notSent()) {
            // A worker that turns a connection away has as many as it accepts, and is well.
            if (failure.phase() == CallFailure.Phase.NOT_SENT) {
                run.gateway().onUnreachable(server);
            }
            fail(AttemptEnd.NOT_SENT, failure.detail());
        } else {
            if (!failure.reusedConnection()) {
                noteHealth(true);
            }
            noteBroken();
            final String begun = head.isEmpty() ? "" : ", began " + begunMillis() + " ms before";
            fail(AttemptEnd.UNKNOWN, failure.phase() + ": " + failure.detail() + begun);
        }
    }

    /**
     * The worker may have ended, and if its answer had just begun, by this request. Noted once: an
     * attempt that stays at a silent worker would have it looked at several times a second.
     */
    private void noteBroken() {
        if (brokenNoted) {
            return;
        }
        brokenNoted = true;
        if (head.isEmpty() || lastByteMillis - headMillis < CrashWatch.SUSPECT_MILLIS) {
            run.gateway().crashes().onBroken(server, run.content());
        }
    }

    /** Time since the worker began to answer. */
    private long begunMillis() {
        return now() - headMillis;
    }

    private void onByte() {
        lastByteMillis = now();
        server.health().onBytesReceived();
    }

    /**
     * Looks for a worker that neither answers nor closes its connection; called several times a
     * second. A timer set when the request was sent would be as patient with a begun stream as with
     * a long prompt: a stream cut off right after its first event was noticed six seconds late.
     */
    void checkSilence() {
        if (ended || isPaused()) {
            return;
        }
        if (server.isSuperseded() && now() - lastByteMillis >= FORMER_LIFE_MILLIS) {
            endWithFormerLife();
            return;
        }
        final Inactivity silence =
                new Inactivity(
                        now() - lastByteMillis,
                        server.health().millisSinceLastByte(),
                        server.stalledMillis(),
                        watchesTogether() ? server.begunResponses() : 0);
        if (!silence.exceeds(patienceMillis())) {
            return;
        }
        final String detail =
                server.entry().id()
                        + " silent for "
                        + silence.serverMillis()
                        + " ms, own "
                        + silence.requestMillis()
                        + " ms, answers "
                        + silence.begunResponses();
        noteBroken();
        run.gateway().onSilent(server);
        run.onSilent(detail);
    }

    /** The request may have run in the former life; its answer will not come. */
    private void endWithFormerLife() {
        call.cancel();
        fail(AttemptEnd.UNKNOWN, "started again");
    }

    private boolean watchesTogether() {
        return run.gateway().policy().uses(Mechanism.STALL_WATCH);
    }

    private boolean isPaused() {
        return head.isPresent() && !flowing;
    }

    private long patienceMillis() {
        return head.isEmpty()
                ? pace.firstByteTimeoutMillis(promptTokens())
                : pace.nextByteTimeoutMillis(run.route().maxPause().toMillis());
    }

    private int promptTokens() {
        return run.request().prompt().map(Prompt::promptTokens).orElse(0);
    }

    private void onRejected(final AnswerHead answer) {
        fail(AttemptEnd.REJECTED, "rejected with " + answer.status());
    }

    private void onSigned(final AnswerHead answer) {
        final boolean failed = answer.isServerFailure();
        noteHealth(failed);
        pace.onEnd(now() - sentMillis);
        run.canary()
                .onResponse(server.entry().id(), server.entry().version(), failed, paceMillis());
        if (failed) {
            final byte[] content = body.toByteArray();
            fail(AttemptEnd.FAILED, "failed with " + answer.status(), () -> deliver(content));
        } else if (!streams()) {
            deliverNow(answer, body.toByteArray());
        } else if (events.hasPartial()) {
            fail(AttemptEnd.UNKNOWN, "stream ended within an event");
        } else {
            release();
            run.answer().end(answer);
            run.onDelivered(answer);
        }
    }

    /** Hands on a worker's own failure, unless the caller already has a part of a stream. */
    private void deliver(final byte[] content) {
        if (run.answer().started()) {
            run.giveUp();
            return;
        }
        deliverNow(head.orElseThrow(), content);
    }

    private void deliverNow(final AnswerHead answer, final byte[] content) {
        release();
        run.answer().whole(answer, content);
        run.onDelivered(answer);
    }

    private void onEvent(final byte[] event, final Optional<String> id) {
        if (eventCount == 0) {
            firstEventMillis = now();
        }
        eventCount++;
        if (!run.answer().event(head.orElseThrow(), event, id)) {
            pause(true);
        }
    }

    private void fail(final AttemptEnd end, final String detail) {
        fail(end, detail, run::giveUp);
    }

    private void fail(final AttemptEnd end, final String detail, final Runnable instead) {
        if (release()) {
            run.gateway().metrics().attempt(run.service().value(), end.name());
            run.onFailed(end, server.entry().id() + " " + detail, instead);
        }
    }

    /**
     * The worker has read the prompt, or will not read it: what is sent next does not wait for it.
     */
    private void noteRead() {
        if (!read) {
            read = true;
            server.onPromptRead(readMillis);
        }
    }

    private boolean release() {
        if (ended) {
            return false;
        }
        ended = true;
        setFlowing(false);
        run.gateway().attempts().remove(this);
        noteRead();
        server.end();
        return true;
    }

    private void noteHealth(final boolean failed) {
        final BaselineFailureRate usual = run.gateway().beliefs().usualFailures(run.route().name());
        server.health().onEnd(failed, usual.share());
        usual.onResponse(failed);
    }

    /** The time per event after the first; for a plain answer the whole time. */
    private double paceMillis() {
        if (!streams()) {
            return now() - sentMillis;
        }
        return eventCount < 3 ? 0 : (now() - firstEventMillis) / (double) (eventCount - 1);
    }

    private boolean streams() {
        return run.isStream() && head.map(AnswerHead::isSuccess).orElse(false);
    }

    private WireCodec codec() {
        return run.gateway().codec();
    }

    private long now() {
        return run.gateway().beliefs().clock().millis();
    }
}
