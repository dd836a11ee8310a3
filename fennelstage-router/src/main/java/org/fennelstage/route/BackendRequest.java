package org.fennelstage.route;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VersionId;
import org.fennelstage.objects.Json;
import org.fennelstage.profile.Profile;

/** Creates the message sent to a backend server for a chat request. Stateless and thread-safe. */
final class BackendRequest {

    private static final int PREFIX_CHARACTERS = 256;

    private BackendRequest() {}

    static FullHttpRequest of(
            final ServerExchange exchange,
            final ChatRequest request,
            final Profile profile,
            final VersionId version,
            final RequestId id) {
        final FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.POST,
                        "/v1/chat/completions",
                        Unpooled.wrappedBuffer(Json.write(body(request, profile, version))));
        message.headers().set("content-type", "application/json");
        message.headers().set(OutcomeResponse.REQUEST_ID, id.value());
        request.idempotencyKey()
                .ifPresent(k -> message.headers().set(ChatRequest.IDEMPOTENCY_KEY, k));
        final String trace = exchange.headers().get("traceparent");
        if (trace != null) {
            message.headers().set("traceparent", trace);
        }
        return message;
    }

    /**
     * Returns the hash of the prompt's prefix, used to choose a backend server whose prompt cache
     * is likely to hold it.
     */
    static long prefixHash(final ChatRequest request) {
        final String text = request.messages().toString();
        return Hashing.komihash5_0()
                .hashStream()
                .putChars(text.substring(0, Math.min(PREFIX_CHARACTERS, text.length())))
                .getAsLong();
    }

    private static ObjectNode body(
            final ChatRequest request, final Profile profile, final VersionId version) {
        final ObjectNode body = Json.mapper().createObjectNode();
        body.put("model", version.toString());
        body.set("messages", request.messages());
        final int limit =
                request.maxTokens() == 0
                        ? profile.maxTokens()
                        : Math.min(request.maxTokens(), profile.maxTokens());
        body.put("max_tokens", limit);
        body.put("stream", true);
        return body;
    }
}
