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
 * Hears one attempt of a chat request. A new one is made for each, so that nothing of an old
 * attempt remains.
 *
 * <p>Invariant: the answer counts as whole only after its closing mark. Confined to the event loop.
 */
final class ChatListener implements ResponseListener {

    private static final System.Logger LOG = System.getLogger(ChatListener.class.getName());
    private static final int OK = 200;
    private static final String CLOSING_MARK = "[DONE]";

    private final ChatRun run;
    private final ServerEvents events = new ServerEvents(this::onData);
    private int status;
    private boolean whole;

    ChatListener(final ChatRun run) {
        this.run = Objects.requireNonNull(run, "run is null");
    }

    @Override
    public void onHead(final int newStatus, final HttpHeaders headers) {
        status = newStatus;
        if (status != OK) {
            run.onErrorStatus(status);
        }
    }

    @Override
    public void onContent(final ByteBuf content) {
        if (status == OK) {
            events.feed(content);
            run.slowDown();
        }
    }

    @Override
    public void onEnd() {
        if (whole) {
            run.onWholeAnswer();
        } else {
            run.onFailure(
                    new CallFailure(
                            CallFailure.Phase.RESPONDING, false, "the answer ended too early"));
        }
    }

    @Override
    public void onFailure(final CallFailure failure) {
        run.onFailure(failure);
    }

    private void onData(final String data) {
        if (data.equals(CLOSING_MARK)) {
            whole = true;
            return;
        }
        final JsonNode piece;
        try {
            piece = Json.mapper().readTree(data);
        } catch (final IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "passed over what is no piece of an answer", e);
            return;
        }
        run.onPiece(piece);
    }
}
