package org.fennelstage.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ResponseListener;

/**
 * One request of a simulated caller, including its retries. An idempotent request is retried after
 * any failure. A request with an idempotency key is retried if it was rejected as not run or if the
 * connection failed. Not thread-safe; confined to the event loop of its client.
 */
final class LoadRequest {

    private static final int MAX_ATTEMPTS = 6;
    private static final long RETRY_DELAY_MILLIS = 500;
    private static final CallOptions CALL_OPTIONS =
            CallOptions.of(Duration.ofSeconds(1), Duration.ofSeconds(70), false);

    private final HttpClient client;
    private final LoadStatistics statistics;
    private final RequestKind kind;
    private final List<InetSocketAddress> targets;
    private final String team;
    private final String directModel;
    private final long number;
    private final long dueNanos;
    private final Runnable onEnd;
    private int attempts;

    LoadRequest(
            final HttpClient client,
            final LoadStatistics statistics,
            final RequestKind kind,
            final List<InetSocketAddress> targets,
            final String team,
            final String directModel,
            final long number,
            final long dueNanos,
            final Runnable onEnd) {
        this.client = client;
        this.statistics = statistics;
        this.kind = kind;
        this.targets = targets;
        this.team = team;
        this.directModel = directModel;
        this.number = number;
        this.dueNanos = dueNanos;
        this.onEnd = onEnd;
    }

    void send() {
        final InetSocketAddress target = targets.get((int) ((number + attempts) % targets.size()));
        attempts++;
        client.send(target, request(), CALL_OPTIONS, new ResponseCollector());
    }

    private FullHttpRequest request() {
        final String body =
                "{\"model\":\""
                        + (directModel.isEmpty() ? kind.profile() : directModel)
                        + "\",\"stream\":true,\"max_tokens\":"
                        + kind.tokens()
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"prefix-"
                        + number % 40
                        + " [[d="
                        + kind.difficulty()
                        + "]] [[r="
                        + number
                        + "]]\"}]}";
        final FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v1/chat/completions",
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set("authorization", "Bearer " + team + "-key");
        if (kind.nonIdempotent()) {
            request.headers().set("idempotency-key", idempotencyKey());
        }
        return request;
    }

    private String idempotencyKey() {
        return "load-" + number;
    }

    private long microsSinceDue() {
        return (System.nanoTime() - dueNanos) / 1000;
    }

    private void retry(final String cause) {
        if (attempts >= MAX_ATTEMPTS) {
            statistics.recordOutcome("gave-up-after-" + cause);
            onEnd.run();
            return;
        }
        statistics.recordOutcome("repeated-after-" + cause);
        client.eventLoop().schedule(this::send, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void finish(final String outcome) {
        statistics.recordOutcome(outcome);
        onEnd.run();
    }

    private final class ResponseCollector implements ResponseListener {
        private final StringBuilder text = new StringBuilder();
        private int status;
        private String requestId = "";
        private boolean hasContent;

        @Override
        public void onHead(final int newStatus, final HttpHeaders headers) {
            status = newStatus;
            requestId = headers.get("x-request-id", "");
        }

        @Override
        public void onContent(final ByteBuf content) {
            if (!hasContent && status == 200) {
                hasContent = true;
                statistics.recordFirstToken(microsSinceDue());
            }
            text.append(content.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
            final String body = text.toString();
            if (status == 200 && body.contains("data: [DONE]")) {
                onComplete(body);
            } else if (body.contains("refused-not-run")) {
                statistics.recordNotRun(requestId);
                retry("not-run");
            } else if (kind.nonIdempotent()) {
                finish(body.contains("already ran") ? "already-ran" : "unknown");
            } else {
                retry("failed");
            }
        }

        @Override
        public void onFailure(final CallFailure failure) {
            if (failure.phase() == CallFailure.Phase.NOT_SENT) {
                retry("refused-connection");
            } else if (kind.nonIdempotent()) {
                // The request may have run. Another VM runs it, or returns its outcome, under the
                // same key.
                retry("broken-connection-with-key");
            } else {
                retry("broken-connection");
            }
        }

        private void onComplete(final String body) {
            final boolean isForThisRequest = body.contains("[[r=" + number + "]]");
            final boolean isComplete =
                    body.contains("token" + (kind.tokens() - 1) + " ") || kind.tokens() == 1;
            if (!isForThisRequest || !isComplete) {
                statistics.recordMismatch(requestId);
            }
            statistics.recordComplete(requestId, microsSinceDue());
            if (kind.nonIdempotent()) {
                statistics.recordCompleteKey(idempotencyKey());
            }
            finish("complete");
        }
    }
}
