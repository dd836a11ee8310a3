package org.fennelstage.route;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.util.Objects;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.ResponseListener;
import org.fennelstage.objects.Json;

/**
 * Parses the response of one attempt of a chat request. Each attempt has a new listener, so that no
 * state carries over.
 *
 * <p>Invariant: a response is complete only after its end marker. Not thread-safe; confined to the
 * event loop.
 */
final class ChatResponseListener implements ResponseListener {

    private static final System.Logger LOG = System.getLogger(ChatResponseListener.class.getName());
    private static final int STATUS_OK = 200;
    private static final String END_MARKER = "[DONE]";

    private final ChatExecution execution;
    private final ServerSentEventParser events = new ServerSentEventParser(this::onData);
    private int status;
    private boolean complete;

    ChatResponseListener(final ChatExecution execution) {
        this.execution = Objects.requireNonNull(execution, "execution is null");
    }

    @Override
    public void onHead(final int newStatus, final HttpHeaders headers) {
        status = newStatus;
        if (status != STATUS_OK) {
            execution.onErrorStatus(status);
        }
    }

    @Override
    public void onContent(final ByteBuf content) {
        if (status == STATUS_OK) {
            events.feed(content);
            execution.applyBackpressure();
        }
    }

    @Override
    public void onEnd() {
        if (complete) {
            execution.onResponseComplete();
        } else {
            execution.onFailure(
                    new CallFailure(
                            CallFailure.Phase.RESPONDING,
                            false,
                            "the response ended before its end marker"));
        }
    }

    @Override
    public void onFailure(final CallFailure failure) {
        execution.onFailure(failure);
    }

    private void onData(final String data) {
        if (data.equals(END_MARKER)) {
            complete = true;
            return;
        }
        final JsonNode chunk;
        try {
            chunk = Json.mapper().readTree(data);
        } catch (final IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "ignored an event that is not valid JSON", e);
            return;
        }
        execution.onChunk(chunk);
    }
}
