package org.fennelstage.route;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.RequestId;
import org.fennelstage.objects.Json;
import org.fennelstage.outcome.Outcome;

/**
 * Converts outcomes to HTTP: the status, and for outcomes other than a complete response the {@code
 * Retry-After} header and a JSON body. Stateless and thread-safe.
 */
final class OutcomeResponse {

    static final String REQUEST_ID = "x-request-id";
    static final String OUTCOME = "x-outcome";

    private static final int UNKNOWN_STATUS = 504;
    private static final int FAILED_STATUS = 502;
    private static final int OK_STATUS = 200;

    private OutcomeResponse() {}

    static int status(final Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            return notRun.reason().status();
        }
        if (outcome instanceof Outcome.Unknown) {
            return UNKNOWN_STATUS;
        }
        return outcome instanceof Outcome.FailedAfterRun ? FAILED_STATUS : OK_STATUS;
    }

    static void send(
            final ServerExchange exchange, final RequestId request, final Outcome outcome) {
        final Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        headers.put(REQUEST_ID, request.value());
        headers.put(OUTCOME, outcome.kind());
        retryAfter(outcome).ifPresent(s -> headers.put("retry-after", Long.toString(s)));
        exchange.respond(status(outcome), headers, Json.write(body(request, outcome)));
    }

    static ObjectNode body(final RequestId request, final Outcome outcome) {
        final ObjectNode body = Json.mapper().createObjectNode();
        final ObjectNode error = body.putObject("error");
        error.put("outcome", outcome.kind());
        error.put("request", request.value());
        if (outcome instanceof Outcome.NotRun notRun) {
            error.put("reason", notRun.reason().code());
            error.put("message", notRun.detail());
            retryAfter(outcome).ifPresent(s -> error.put("retry_after", s));
        } else if (outcome instanceof Outcome.Unknown unknown) {
            error.put("message", unknown.detail());
        } else if (outcome instanceof Outcome.FailedAfterRun failed) {
            error.put("message", failed.detail());
        }
        return body;
    }

    private static Optional<Long> retryAfter(final Outcome outcome) {
        if (!(outcome instanceof Outcome.NotRun notRun)) {
            return Optional.empty();
        }
        return notRun.retryAfter().map(OutcomeResponse::wholeSeconds);
    }

    private static long wholeSeconds(final Duration duration) {
        return Math.max(1, (duration.toMillis() + 999) / 1000);
    }
}
