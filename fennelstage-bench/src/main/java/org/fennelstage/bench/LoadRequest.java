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
 * One request of a caller, with the repetitions that a careful caller makes: after a refusal that
 * says "not run", and, with an idempotency key, after any doubt. Confined to one event loop.
 */
final class LoadRequest {

    private static final int MOST_TRIES = 6;
    private static final long PAUSE_MILLIS = 500;
    private static final CallOptions OPTIONS =
            CallOptions.of(Duration.ofSeconds(1), Duration.ofSeconds(70), false);

    private final HttpClient client;
    private final LoadTally tally;
    private final LoadKind kind;
    private final List<InetSocketAddress> targets;
    private final String team;
    private final String directModel;
    private final long number;
    private final long dueNanos;
    private final Runnable onEnd;
    private int tries;

    LoadRequest(
            final HttpClient client,
            final LoadTally tally,
            final LoadKind kind,
            final List<InetSocketAddress> targets,
            final String team,
            final String directModel,
            final long number,
            final long dueNanos,
            final Runnable onEnd) {
        this.client = client;
        this.tally = tally;
        this.kind = kind;
        this.targets = targets;
        this.team = team;
        this.directModel = directModel;
        this.number = number;
        this.dueNanos = dueNanos;
        this.onEnd = onEnd;
    }

    void send() {
        final InetSocketAddress target = targets.get((int) ((number + tries) % targets.size()));
        tries++;
        client.send(target, request(), OPTIONS, new Answer());
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
        if (kind.onceOnly()) {
            request.headers().set("idempotency-key", key());
        }
        return request;
    }

    private String key() {
        return "load-" + number;
    }

    private long micros() {
        return (System.nanoTime() - dueNanos) / 1000;
    }

    private void again(final String outcome) {
        if (tries >= MOST_TRIES) {
            tally.outcome("gave-up-after-" + outcome);
            onEnd.run();
            return;
        }
        tally.outcome("repeated-after-" + outcome);
        client.eventLoop().schedule(this::send, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void finish(final String outcome) {
        tally.outcome(outcome);
        onEnd.run();
    }

    private final class Answer implements ResponseListener {
        private final StringBuilder text = new StringBuilder();
        private int status;
        private String request = "";
        private boolean begun;

        @Override
        public void onHead(final int newStatus, final HttpHeaders headers) {
            status = newStatus;
            request = headers.get("x-request-id", "");
        }

        @Override
        public void onContent(final ByteBuf content) {
            if (!begun && status == 200) {
                begun = true;
                tally.firstToken(micros());
            }
            text.append(content.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd() {
            final String all = text.toString();
            if (status == 200 && all.contains("data: [DONE]")) {
                onWhole(all);
            } else if (all.contains("refused-not-run")) {
                tally.notRun(request);
                again("not-run");
            } else if (kind.onceOnly()) {
                finish(all.contains("already ran") ? "already-ran" : "unknown");
            } else {
                again("failed");
            }
        }

        @Override
        public void onFailure(final CallFailure failure) {
            if (failure.phase() == CallFailure.Phase.NOT_SENT) {
                again("refused-connection");
            } else if (kind.onceOnly()) {
                // A doubt: the same key at another router either runs it or tells what became of
                // it.
                again("broken-connection-with-key");
            } else {
                again("broken-connection");
            }
        }

        private void onWhole(final String all) {
            final boolean isOwn = all.contains("[[r=" + number + "]]");
            final boolean isWhole =
                    all.contains("token" + (kind.tokens() - 1) + " ") || kind.tokens() == 1;
            if (!isOwn || !isWhole) {
                tally.foreign(request);
            }
            tally.complete(request, micros());
            if (kind.onceOnly()) {
                tally.keyComplete(key());
            }
            finish("complete");
        }
    }
}
