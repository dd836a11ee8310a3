package org.fennelstage.route;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VersionId;
import org.fennelstage.objects.Json;
import org.fennelstage.outcome.Outcome;

/**
 * Writes the response of a chat request to the caller: a stream of server-sent events, or one JSON
 * body.
 *
 * <p>Invariant: the marker of a complete response ({@code [DONE]}, or status 200 of a body) is sent
 * only by {@link #finish}. Not thread-safe; confined to the event loop.
 */
final class ChatResponse {

    private static final String EXPLAIN_HEADER = "x-explain";
    private static final double DEFAULT_CONFIDENCE = 0.5;

    /** Longest answer that is kept; a model server in trouble may send without end. */
    private static final int MAX_CHARACTERS = 4 << 20;

    private final ServerExchange exchange;
    private final RequestId request;
    private final ProfileId profile;
    private final boolean stream;
    private final StringBuilder text = new StringBuilder();
    private final Map<String, String> headers = new HashMap<>();
    private boolean started;
    private boolean buffering;
    private double confidence = DEFAULT_CONFIDENCE;
    private int tokens;
    private String finishReason = "";

    ChatResponse(
            final ServerExchange exchange,
            final RequestId request,
            final ProfileId profile,
            final boolean stream) {
        this.exchange = exchange;
        this.request = request;
        this.profile = profile;
        this.stream = stream;
        headers.put(OutcomeResponse.REQUEST_ID, request.value());
    }

    void onServerChosen(
            final VersionId version,
            final BackendServerId server,
            final String reason,
            final boolean explain) {
        if (explain) {
            headers.put(
                    EXPLAIN_HEADER, "version=" + version + " server=" + server + " why=" + reason);
        }
    }

    /** Buffers chunks until the answer is released or discarded. */
    void startBuffering() {
        buffering = true;
    }

    boolean isBuffering() {
        return buffering;
    }

    /** Ends buffering and sends the buffered answer to the caller. */
    void releaseBuffered() {
        buffering = false;
        begin();
        if (stream && text.length() > 0) {
            writeEvent(chunk(text.toString(), null));
        }
    }

    /** Discards the buffered answer before another one is generated. */
    void discardBuffered() {
        buffering = false;
        text.setLength(0);
        tokens = 0;
        finishReason = "";
        confidence = DEFAULT_CONFIDENCE;
    }

    /** Returns the model's confidence in its answer, in [0, 1]; 0.5 if it reported none. */
    double confidence() {
        return confidence;
    }

    boolean hasStarted() {
        return started;
    }

    int tokens() {
        return tokens;
    }

    String text() {
        return text.toString();
    }

    /** Returns whether the answer is longer than what is kept. */
    boolean isTooLong() {
        return text.length() > MAX_CHARACTERS;
    }

    boolean isTruncated() {
        return finishReason.equals("length");
    }

    /** Adds one chunk of the backend server's response. */
    void addChunk(final JsonNode chunk) {
        final JsonNode choice = chunk.path("choices").path(0);
        final String content = choice.path("delta").path("content").asText("");
        if (choice.path("finish_reason").isTextual()) {
            finishReason = choice.path("finish_reason").asText();
        }
        tokens = chunk.path("usage").path("completion_tokens").asInt(tokens);
        confidence = chunk.path("usage").path("confidence").asDouble(confidence);
        text.append(content);
        if (buffering) {
            return;
        }
        begin();
        if (stream && !content.isEmpty()) {
            writeEvent(chunk(content, null));
        }
    }

    /**
     * Ends a complete response.
     *
     * @param session the session token, empty if there is no session
     */
    void finish(final Optional<String> session) {
        if (!stream) {
            finishBody(session);
            return;
        }
        final ObjectNode last = chunk("", finishReason);
        last.putObject("usage").put("completion_tokens", tokens);
        addMetadata(last, session);
        writeEvent(last);
        writeData("[DONE]");
        exchange.end();
    }

    /**
     * Ends the response with any other outcome. A stream that has started gets an error event and
     * no marker of a complete response.
     *
     * @param outcome the outcome
     */
    void fail(final Outcome outcome) {
        if (stream && started) {
            writeEvent(OutcomeResponse.body(request, outcome));
            exchange.end();
        } else {
            OutcomeResponse.send(exchange, request, outcome);
        }
    }

    private void begin() {
        if (started) {
            return;
        }
        started = true;
        if (stream) {
            headers.put("content-type", "text/event-stream");
            headers.put("cache-control", "no-store");
            exchange.begin(OutcomeResponse.status(new Outcome.Complete()), headers);
        }
    }

    private void finishBody(final Optional<String> session) {
        final ObjectNode body = base("chat.completion");
        final ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text.toString());
        choice.put("finish_reason", finishReason);
        body.putObject("usage").put("completion_tokens", tokens);
        addMetadata(body, session);
        headers.put("content-type", "application/json");
        headers.put(OutcomeResponse.OUTCOME, new Outcome.Complete().kind());
        session.ifPresent(t -> headers.put(ChatRequest.SESSION, t));
        exchange.respond(OutcomeResponse.status(new Outcome.Complete()), headers, Json.write(body));
    }

    private void addMetadata(final ObjectNode body, final Optional<String> session) {
        final ObjectNode metadata = body.putObject("fennelstage");
        metadata.put("outcome", new Outcome.Complete().kind());
        metadata.put("request", request.value());
        session.ifPresent(t -> metadata.put("session", t));
    }

    private ObjectNode chunk(final String content, final String reason) {
        final ObjectNode body = base("chat.completion.chunk");
        final ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", content);
        choice.put("finish_reason", reason);
        return body;
    }

    private ObjectNode base(final String kind) {
        final ObjectNode body = Json.mapper().createObjectNode();
        body.put("id", request.value());
        body.put("object", kind);
        body.put("model", profile.value());
        return body;
    }

    private void writeEvent(final ObjectNode body) {
        writeData(body.toString());
    }

    private void writeData(final String data) {
        exchange.write(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8));
    }
}
