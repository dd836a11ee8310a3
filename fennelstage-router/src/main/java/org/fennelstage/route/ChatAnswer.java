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
 * The answer as the caller gets it: a stream of events, or one body at the end.
 *
 * <p>Invariant: the mark of a whole answer ({@code [DONE]}, or status 200 of a body) is sent only
 * by {@link #finish}. Confined to the request's event loop.
 */
final class ChatAnswer {

    private static final String EXPLAIN = "x-explain";
    private static final double UNKNOWN_CONFIDENCE = 0.5;

    private final ServerExchange exchange;
    private final RequestId request;
    private final ProfileId profile;
    private final boolean stream;
    private final StringBuilder text = new StringBuilder();
    private final Map<String, String> headers = new HashMap<>();
    private boolean begun;
    private boolean held;
    private double confidence = UNKNOWN_CONFIDENCE;
    private int tokens;
    private String finishReason = "";

    ChatAnswer(
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

    void onChosen(
            final VersionId version,
            final BackendServerId server,
            final String why,
            final boolean explain) {
        if (explain) {
            headers.put(EXPLAIN, "version=" + version + " server=" + server + " why=" + why);
        }
    }

    /** Keeps chunks back from the caller until the answer is accepted or dropped. */
    void hold() {
        held = true;
    }

    boolean isHeld() {
        return held;
    }

    /** Lets the caller have the answer that was held. */
    void accept() {
        held = false;
        begin();
        if (stream && text.length() > 0) {
            event(chunk(text.toString(), null));
        }
    }

    /** Forgets the answer that was held; another one follows. */
    void drop() {
        held = false;
        text.setLength(0);
        tokens = 0;
        finishReason = "";
        confidence = UNKNOWN_CONFIDENCE;
    }

    /** Returns the engine's confidence in its answer; one half if it gave none. */
    double confidence() {
        return confidence;
    }

    boolean hasBegun() {
        return begun;
    }

    int tokens() {
        return tokens;
    }

    String text() {
        return text.toString();
    }

    boolean isTruncated() {
        return finishReason.equals("length");
    }

    /** Takes one chunk of the backend server. */
    void add(final JsonNode chunk) {
        final JsonNode choice = chunk.path("choices").path(0);
        final String content = choice.path("delta").path("content").asText("");
        if (choice.path("finish_reason").isTextual()) {
            finishReason = choice.path("finish_reason").asText();
        }
        tokens = chunk.path("usage").path("completion_tokens").asInt(tokens);
        confidence = chunk.path("usage").path("confidence").asDouble(confidence);
        text.append(content);
        if (held) {
            return;
        }
        begin();
        if (stream && !content.isEmpty()) {
            event(chunk(content, null));
        }
    }

    /**
     * Ends the whole answer.
     *
     * @param session the token of the session, if there is one
     */
    void finish(final Optional<String> session) {
        if (!stream) {
            finishBody(session);
            return;
        }
        final ObjectNode last = chunk("", finishReason);
        last.putObject("usage").put("completion_tokens", tokens);
        notes(last, session);
        event(last);
        write("[DONE]");
        exchange.end();
    }

    /**
     * Tells the caller of any other outcome. A stream that has begun gets an error event and no
     * mark of a whole answer.
     *
     * @param outcome the outcome
     */
    void fail(final Outcome outcome) {
        if (stream && begun) {
            event(OutcomeResponse.body(request, outcome));
            exchange.end();
        } else {
            OutcomeResponse.send(exchange, request, outcome);
        }
    }

    private void begin() {
        if (begun) {
            return;
        }
        begun = true;
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
        notes(body, session);
        headers.put("content-type", "application/json");
        headers.put(OutcomeResponse.OUTCOME, new Outcome.Complete().kind());
        session.ifPresent(t -> headers.put(ChatRequest.SESSION, t));
        exchange.respond(OutcomeResponse.status(new Outcome.Complete()), headers, Json.write(body));
    }

    private void notes(final ObjectNode body, final Optional<String> session) {
        final ObjectNode notes = body.putObject("fennelstage");
        notes.put("outcome", new Outcome.Complete().kind());
        notes.put("request", request.value());
        session.ifPresent(t -> notes.put("session", t));
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

    private void event(final ObjectNode body) {
        write(body.toString());
    }

    private void write(final String data) {
        exchange.write(Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8));
    }
}
