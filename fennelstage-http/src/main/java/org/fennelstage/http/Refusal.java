package org.fennelstage.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

/**
 * The event that a request is refused before it is handled. {@link ConnectionHandler} responds to
 * it in the order of requests, handles nothing that is read later, and closes the connection.
 * Immutable.
 *
 * @param status the status of the response
 * @param body its body, which may be empty
 * @param retryAfter the value of {@code Retry-After}; seconds
 */
record Refusal(HttpResponseStatus status, String body, Optional<String> retryAfter) {

    /** The head of a request was not complete within its time limit. */
    static final Refusal HEADER_TIMEOUT = new Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "");

    /** The server stops; another one handles the request at once. */
    static final Refusal STOPPING =
            new Refusal(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ErrorBodies.body("stopping", "the server stops"),
                    Optional.of("0"));

    /** The server has more to do than it completes; another one may handle the request at once. */
    static final Refusal OVERLOADED =
            new Refusal(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ErrorBodies.body("overloaded", "too many new connections"),
                    Optional.of("0"));

    /** The bodies of requests take all memory that is for them; another server may have some. */
    static final Refusal NO_MEMORY =
            new Refusal(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    ErrorBodies.body("overloaded", "no memory for the body of the request"),
                    Optional.of("0"));

    Refusal {
        Objects.requireNonNull(status, "status is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(retryAfter, "retryAfter is null");
    }

    Refusal(final HttpResponseStatus status, final String body) {
        this(status, body, Optional.empty());
    }

    /** Returns a new response, which says that the connection will be closed. */
    FullHttpResponse response() {
        final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        final FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        retryAfter.ifPresent(time -> response.headers().set(HttpHeaderNames.RETRY_AFTER, time));
        if (bytes.length > 0) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        return response;
    }
}
