package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.ServiceName;

/**
 * Sends the error response for one request, with a retry time if one is known.
 *
 * <p>At most one response may be sent; {@link RequestExecution} decides whether the request may be
 * reported as not run.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ErrorResponder {

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final String requestId;
    private final WaitEstimator waitEstimator;
    private final RequestLog log;

    ErrorResponder(
            final Gateway gateway,
            final ServerExchange exchange,
            final String requestId,
            final WaitEstimator waitEstimator,
            final RequestLog log) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.requestId = Objects.requireNonNull(requestId, "requestId is null");
        this.waitEstimator = Objects.requireNonNull(waitEstimator, "waitEstimator is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /** Rejects a request whose expected wait exceeds its remaining time. */
    void waitTooLong(final double waitMillis, final Duration remaining) {
        log.waitTooLong(Math.round(waitMillis), remaining.toMillis());
        final Duration retryAfter = waitEstimator.retryAfter(waitMillis, remaining);
        gateway.respond(exchange, requestId, GatewayError.OVERLOADED, retryAfter);
    }

    /** Rejects a request because all backend servers have as many as can be in time. */
    void saturated(final Duration retryAfter) {
        log.saturated(retryAfter);
        gateway.respond(exchange, requestId, GatewayError.OVERLOADED, retryAfter);
    }

    /** Rejects a quarantined request. */
    void quarantined(final Duration remaining) {
        log.quarantined(remaining);
        gateway.respond(exchange, requestId, GatewayError.QUARANTINED, remaining);
    }

    /** Rejects a request that another VM forwarded, since this VM reaches no backend server. */
    void notReached() {
        log.notReached();
        gateway.respondNotReached(exchange, requestId);
    }

    /**
     * Rejects a request for which no backend server was found.
     *
     * @param service the service
     * @return the error sent: the service has no usable backend server, or none that is eligible
     *     and reachable now
     */
    GatewayError noServer(final ServiceName service) {
        final boolean hasServers = !gateway.state().servers().usable(service).isEmpty();
        final GatewayError error =
                hasServers ? GatewayError.NO_ELIGIBLE_SERVER : GatewayError.NO_SERVER;
        if (hasServers) {
            log.noEligibleServer(gateway.state().ineligible(service));
        }
        respond(error, Optional.of(service));
        return error;
    }

    /**
     * Sends an error. If the error allows a retry and no backend server of the service is eligible
     * now, the retry time is that of the first to become eligible.
     *
     * @param error the error
     * @param service the service, empty if none was chosen
     */
    void respond(final GatewayError error, final Optional<ServiceName> service) {
        final Optional<Duration> untilEligible =
                error.retryAfter().isPresent()
                        ? service.flatMap(gateway.state()::timeUntilEligible)
                        : Optional.empty();
        if (untilEligible.isPresent()) {
            gateway.respond(
                    exchange, requestId, error, waitEstimator.withJitter(untilEligible.get()));
        } else {
            gateway.respond(exchange, requestId, error);
        }
    }
}
