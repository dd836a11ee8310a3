package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * An answer of the router's own.
 *
 * <p>Law: the status of a refusal that promises "not run" is {@code 503}; one that promises nothing
 * is {@code 502} or {@code 504}. Immutable and thread-safe.
 */
enum Refusal {
    /** The request lacks what every request needs. */
    MALFORMED(400, "malformed", Optional.empty()),
    /** The key is missing or belongs to no team. */
    UNKNOWN_KEY(401, "unknown_key", Optional.empty()),
    /** No route matches. */
    NO_ROUTE(404, "no_route", Optional.empty()),
    /** This VM has no configuration yet; another may. */
    NOT_CONFIGURED(503, "not_configured", Optional.of(Duration.ofMillis(500))),
    /** No worker can take the request now, and it was not run. */
    NO_SERVER(503, "no_server", Optional.of(Duration.ofMillis(300))),
    /** There are workers, but none may get a request now; it was not run. */
    NO_ELIGIBLE_SERVER(503, "no_eligible_server", Optional.of(Duration.ofMillis(300))),
    /** Workers end when they run the request; nothing was sent. */
    QUARANTINED(503, "ends_servers", Optional.empty()),
    /** All workers have more to do than the caller will wait for; nothing was sent. */
    NO_ROOM(503, "no_room", Optional.empty()),
    /** Workers rejected the request, and it was not run. */
    REJECTED(503, "rejected_by_servers", Optional.of(Duration.ofMillis(200))),
    /** The time ran out before the request was sent to any worker, or all rejected it. */
    TOO_LATE_NOT_RUN(503, "timeout_not_run", Optional.of(Duration.ofMillis(200))),
    /** A worker had the request and gave no whole answer; it may have run. */
    OUTCOME_UNKNOWN(502, "outcome_unknown", Optional.empty()),
    /** The time ran out while a worker had the request. */
    TOO_LATE(504, "timeout", Optional.empty());

    private final int status;
    private final String reason;
    private final Optional<Duration> comeBack;

    Refusal(final int status, final String reason, final Optional<Duration> comeBack) {
        this.status = status;
        this.reason = reason;
        this.comeBack = comeBack;
    }

    int status() {
        return status;
    }

    String reason() {
        return reason;
    }

    Optional<Duration> comeBack() {
        return comeBack;
    }
}
