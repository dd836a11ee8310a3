package org.fennelstage.route;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.ProfileId;
import org.fennelstage.objects.Json;
import org.fennelstage.outcome.Outcome;
import org.fennelstage.outcome.Reason;

/**
 * A caller's chat request to a profile. Immutable and thread-safe, except for the JSON nodes, which
 * must not be modified.
 *
 * @param profile the profile
 * @param messages the conversation, forwarded unchanged
 * @param stream whether the caller wants server-sent events
 * @param maxTokens the maximum number of generated tokens, 0 if not given
 * @param session the session token, {@code new} to start a session, empty for none
 * @param idempotencyKey the caller's idempotency key, empty if not given
 * @param deadline the time from the request's arrival to its deadline, empty if not given
 */
record ChatRequest(
        ProfileId profile,
        JsonNode messages,
        boolean stream,
        int maxTokens,
        Optional<String> session,
        Optional<String> idempotencyKey,
        Optional<Duration> deadline) {

    static final String NEW_SESSION = "new";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    static final String SESSION = "x-session";
    static final String DEADLINE = "x-deadline-ms";

    private static final int MAX_KEY_LENGTH = 200;

    ChatRequest {
        Objects.requireNonNull(profile, "profile is null");
        Objects.requireNonNull(messages, "messages is null");
    }

    /**
     * Parses a request.
     *
     * @param exchange the caller's request
     * @return the request
     * @throws RejectedException if the request is malformed
     */
    static ChatRequest parse(final ServerExchange exchange) throws RejectedException {
        final JsonNode body = json(exchange.body());
        final JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed("'messages' must be a non-empty array");
        }
        final JsonNode maxTokens = body.path("max_tokens");
        if (!maxTokens.isMissingNode() && (!maxTokens.isInt() || maxTokens.asInt() < 1)) {
            throw malformed("'max_tokens' must be a positive integer");
        }
        final Optional<String> session = text(body, "session").or(() -> header(exchange, SESSION));
        return new ChatRequest(
                profile(body),
                messages,
                body.path("stream").asBoolean(false),
                maxTokens.asInt(0),
                session,
                key(exchange),
                deadline(exchange));
    }

    static Optional<String> key(final ServerExchange exchange) throws RejectedException {
        final Optional<String> key = header(exchange, IDEMPOTENCY_KEY);
        if (key.filter(k -> k.length() > MAX_KEY_LENGTH).isPresent()) {
            throw malformed(
                    "the idempotency key must have at most " + MAX_KEY_LENGTH + " characters");
        }
        return key;
    }

    static Optional<Duration> deadline(final ServerExchange exchange) throws RejectedException {
        final Optional<String> text = header(exchange, DEADLINE);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            final long millis = Long.parseLong(text.get());
            if (millis > 0) {
                return Optional.of(Duration.ofMillis(millis));
            }
        } catch (final NumberFormatException e) {
            throw malformed("the header " + DEADLINE + " must be a number of milliseconds");
        }
        throw malformed("the header " + DEADLINE + " must be positive");
    }

    private static ProfileId profile(final JsonNode body) throws RejectedException {
        final Optional<String> name = text(body, "model");
        if (name.isEmpty()) {
            throw malformed("'model' must be the name of a profile");
        }
        try {
            return ProfileId.of(name.get());
        } catch (final IllegalArgumentException e) {
            throw malformed(e.getMessage());
        }
    }

    private static JsonNode json(final byte[] bytes) throws RejectedException {
        try {
            final JsonNode node = Json.mapper().readTree(bytes);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (final IOException e) {
            throw malformed("the body is not JSON");
        }
        throw malformed("the body must be a JSON object");
    }

    private static Optional<String> text(final JsonNode body, final String field) {
        final JsonNode node = body.path(field);
        return node.isTextual() ? Optional.of(node.asText()) : Optional.empty();
    }

    private static Optional<String> header(final ServerExchange exchange, final String name) {
        return Optional.ofNullable(exchange.headers().get(name)).filter(v -> !v.isEmpty());
    }

    private static RejectedException malformed(final String detail) {
        return new RejectedException(Outcome.notRun(Reason.MALFORMED, detail));
    }
}
