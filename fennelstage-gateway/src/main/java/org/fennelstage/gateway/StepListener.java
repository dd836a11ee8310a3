package org.fennelstage.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.ResponseListener;

/**
 * Passes a response on to an attempt in steps of its request, so that an unexpected error ends the
 * request instead of being lost with the connection.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class StepListener implements ResponseListener {

    private final RequestExecution execution;
    private final ResponseListener attempt;

    StepListener(final RequestExecution execution, final ResponseListener attempt) {
        this.execution = Objects.requireNonNull(execution, "execution is null");
        this.attempt = Objects.requireNonNull(attempt, "attempt is null");
    }

    @Override
    public void onHead(final int status, final HttpHeaders headers) {
        execution.step(() -> attempt.onHead(status, headers));
    }

    @Override
    public void onContent(final ByteBuf content) {
        execution.step(() -> attempt.onContent(content));
    }

    @Override
    public void onEnd() {
        execution.step(attempt::onEnd);
    }

    @Override
    public void onFailure(final CallFailure failure) {
        execution.step(() -> attempt.onFailure(failure));
    }
}
