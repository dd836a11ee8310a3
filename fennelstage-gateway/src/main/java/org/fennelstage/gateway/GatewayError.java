package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * Errors that this VM itself reports to a caller.
 *
 * <p>Invariant: an error that promises "not run" has status {@code 503}; an error that promises
 * nothing has {@code 502} or {@code 504}.
 *
 * <p>Immutable and thread-safe.
 */
enum GatewayError {
    /** The request lacks a required header or has an invalid value. */
    MALFORMED(400, "malformed", Optional.empty()),
    /** The key is missing or belongs to no team. */
    UNKNOWN_KEY(401, "unknown_key", Optional.empty()),
    /** No route matches. */
    NO_ROUTE(404, "no_route", Optional.empty()),
    /** This VM has no configuration yet; another VM may have one. */
    NOT_CONFIGURED(503, "not_configured", Optional.of(Duration.ofMillis(500))),
    /** The service has no usable backend server; the request was not run. */
    NO_SERVER(503, "no_server", Optional.of(Duration.ofMillis(300))),
    /**
     * The service has backend servers, but none is eligible and reachable now; the request was not
     * run.
     */
    NO_ELIGIBLE_SERVER(503, "no_eligible_server", Optional.of(Duration.ofMillis(300))),
    /** The request crashes backend servers; it is rejected as not run. */
    QUARANTINED(503, "ends_servers", Optional.empty()),
    /** The expected wait at all backend servers exceeds the remaining time; nothing was sent. */
    OVERLOADED(503, "no_room", Optional.empty()),
    /** Backend servers rejected the request; it was not run. */
    REJECTED(503, "rejected_by_servers", Optional.of(Duration.ofMillis(200))),
    /** This VM exits before the response would be whole; nothing was sent. */
    STOPPING(503, "stopping", Optional.of(Duration.ofMillis(100))),
    /** The deadline passed before any backend server accepted the request; it was not run. */
    TIMEOUT_NOT_RUN(503, "timeout_not_run", Optional.of(Duration.ofMillis(200))),
    /** This VM failed to handle the request; nothing was sent to a backend server. */
    INTERNAL(500, "internal_error", Optional.empty()),
    /** A backend server received the request but returned no complete response; it may have run. */
    OUTCOME_UNKNOWN(502, "outcome_unknown", Optional.empty()),
    /** The deadline passed while a backend server had the request; it may have run. */
    TIMEOUT(504, "timeout", Optional.empty());

    private final int status;
    private final String reason;
    private final Optional<Duration> retryAfter;

    GatewayError(final int status, final String reason, final Optional<Duration> retryAfter) {
        this.status = status;
        this.reason = reason;
        this.retryAfter = retryAfter;
    }

    int status() {
        return status;
    }

    String reason() {
        return reason;
    }

    Optional<Duration> retryAfter() {
        return retryAfter;
    }
}
