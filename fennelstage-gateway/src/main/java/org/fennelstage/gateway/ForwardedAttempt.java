package org.fennelstage.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.attempt.AttemptEnd;
import org.fennelstage.http.Call;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.ConnectionPolicy;
import org.fennelstage.http.ResponseListener;

/**
 * One attempt of a request through another VM.
 *
 * <p>Invariants: what a backend server signed is passed on unchanged; what the other VM responds
 * itself is a rejection only if that VM promises that the request was not run.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ForwardedAttempt implements ResponseListener, OpenAttempt {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);

    /** Time by which the other VM's error at the deadline may be late. */
    private static final Duration DEADLINE_MARGIN = Duration.ofMillis(500);

    /** VMs keep idle connections for longer than this. */
    private static final ConnectionPolicy CONNECTIONS =
            new ConnectionPolicy(Duration.ofSeconds(4), 16, Duration.ZERO);

    private static final int UNAVAILABLE = 503;

    private final RequestExecution execution;
    private final ForwardingPeers peers;
    private final InetSocketAddress peer;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final BufferedBytes buffered;
    private final EventSplitter events = new EventSplitter(this::onEvent);
    private Optional<ResponseHead> head = Optional.empty();
    private boolean notReached;
    private boolean anyEvent;
    private boolean endsWithConnection;
    private Call call;
    private boolean ended;

    ForwardedAttempt(
            final RequestExecution execution,
            final ForwardingPeers peers,
            final InetSocketAddress peer) {
        this.execution = Objects.requireNonNull(execution, "execution is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.peer = Objects.requireNonNull(peer, "peer is null");
        this.buffered = new BufferedBytes(execution.gateway().memory().responses());
    }

    /** Returns the address of the other VM. */
    InetSocketAddress peer() {
        return peer;
    }

    /**
     * Sends the request.
     *
     * @param remaining the time left until its deadline
     * @param lastEventId the event after which a stream continues, empty to start from the
     *     beginning
     * @param servers the number of backend servers to which it may be sent
     */
    void send(final Duration remaining, final Optional<String> lastEventId, final int servers) {
        peers.onBegin(peer);
        final FullHttpRequest request =
                codec().encodeForwarded(execution.request(), remaining, lastEventId);
        ForwardingHeaders.setServers(request.headers(), servers);
        final CallOptions options =
                new CallOptions(
                        CONNECT_TIMEOUT,
                        remaining.plus(DEADLINE_MARGIN),
                        CONNECTIONS,
                        headers -> codec().matchesRequest(headers, execution.request().id()));
        call =
                execution
                        .gateway()
                        .peerClient()
                        .send(peer, request, options, new StepListener(execution, this));
    }

    @Override
    public void cancel() {
        if (release() && call != null) {
            call.cancel();
        }
    }

    @Override
    public Optional<Duration> sinceWritten() {
        return call.sinceWritten();
    }

    @Override
    public void pause(final boolean pause) {
        call.pause(pause);
    }

    @Override
    public void onHead(final int status, final HttpHeaders headers) {
        final ResponseHead decoded = codec().decodeResponse(status, headers);
        head = Optional.of(decoded);
        endsWithConnection =
                Framing.endsWithConnection(execution.request().method(), status, headers);
        // A backend server may send any header; what it has signed has run.
        notReached =
                decoded.trust() != ResponseHead.Trust.SIGNED
                        && ForwardingHeaders.isNotReached(headers);
        if (!notReached) {
            peers.onSuccess(peer);
        }
        if (decoded.trust() == ResponseHead.Trust.SIGNED && decoded.isSuccess()) {
            execution.onTaken();
        }
    }

    @Override
    public void onContent(final ByteBuf content) {
        if (ended) {
            return;
        }
        if (!buffered.tryAdd(content.readableBytes())) {
            call.cancel();
            fail(AttemptEnd.UNKNOWN, "response or event too large", execution::giveUp);
        } else if (isStreaming()) {
            events.feed(content);
            buffered.keep(ended ? 0 : events.pendingBytes());
        } else {
            body.writeBytes(ByteBufUtil.getBytes(content));
        }
    }

    private boolean isStreaming() {
        return execution.isStream() && head.map(ResponseHead::isSuccess).orElse(false);
    }

    private void onEvent(final byte[] event, final Optional<String> id) {
        anyEvent = true;
        if (!execution.response().event(head.orElseThrow(), event, id)) {
            pause(true);
        }
    }

    @Override
    public void onEnd() {
        final ResponseHead response = head.orElseThrow();
        if (notReached) {
            peers.onFailure(peer);
            fail(AttemptEnd.NOT_SENT, "reaches no backend server", execution::giveUp);
        } else if (response.trust() != ResponseHead.Trust.SIGNED) {
            onPeerError(response);
        } else if (!isStreaming()) {
            deliver(response);
        } else if (events.hasPartial() || (endsWithConnection && !anyEvent)) {
            fail(AttemptEnd.UNKNOWN, "stream ended within an event", execution::giveUp);
        } else if (release()) {
            execution.response().end(response);
            execution.onForwarded(response);
        }
    }

    private void deliver(final ResponseHead response) {
        if (execution.response().started()) {
            fail(AttemptEnd.FAILED, "failed with " + response.status(), execution::giveUp);
        } else if (release()) {
            execution.response().complete(response, body.toByteArray());
            execution.onForwarded(response);
        }
    }

    /** Handles an error of the other VM itself; it has tried other backend servers before. */
    private void onPeerError(final ResponseHead response) {
        final String detail = "responded with status " + response.status();
        if (!isRefusal(response.status())) {
            fail(AttemptEnd.UNKNOWN, detail, execution::giveUp);
            return;
        }
        if (release()) {
            execution.onPeerRejected(response, body.toByteArray(), peer + " " + detail);
        }
    }

    /**
     * Returns whether the other VM has refused the request, so that it never runs. Any other status
     * promises nothing.
     */
    private static boolean isRefusal(final int status) {
        return status == UNAVAILABLE
                || HttpStatusClass.valueOf(status) == HttpStatusClass.CLIENT_ERROR;
    }

    @Override
    public void onFailure(final CallFailure failure) {
        if (failure.notSent()) {
            peers.onFailure(peer);
        }
        fail(
                failure.notSent() ? AttemptEnd.NOT_SENT : AttemptEnd.UNKNOWN,
                failure.phase() + ": " + failure.detail(),
                execution::giveUp);
    }

    private void fail(final AttemptEnd end, final String detail, final Runnable fallback) {
        if (release()) {
            execution.onForwardingFailed(end, peer + " " + detail, fallback);
        }
    }

    private boolean release() {
        if (ended) {
            return false;
        }
        ended = true;
        buffered.keep(0);
        peers.onEnd(peer);
        return true;
    }

    private WireCodec codec() {
        return execution.gateway().codec();
    }
}
