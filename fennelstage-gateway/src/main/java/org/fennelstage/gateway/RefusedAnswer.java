package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.id.ServiceName;

/**
 * Refuses one request, with when to come back as far as that is known.
 *
 * <p>It is to be called once; whether the request may be refused as not run is decided before.
 * Confined to the event loop.
 */
final class RefusedAnswer {

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final String requestId;
    private final Outlook outlook;
    private final RequestLog log;

    RefusedAnswer(
            final Gateway gateway,
            final ServerExchange exchange,
            final String requestId,
            final Outlook outlook,
            final RequestLog log) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.requestId = Objects.requireNonNull(requestId, "requestId is null");
        this.outlook = Objects.requireNonNull(outlook, "outlook is null");
        this.log = Objects.requireNonNull(log, "log is null");
    }

    /** Says when the work that is ahead now will have shrunk to what a caller waits for. */
    void hopeless(final double waitMillis, final Duration remaining) {
        log.hopeless(Math.round(waitMillis), remaining.toMillis());
        final Duration comeBack = outlook.comeBack(waitMillis, remaining);
        gateway.respond(exchange, requestId, Refusal.NO_ROOM, comeBack);
    }

    /** Says when the request may be asked again that ends its workers. */
    void quarantined(final Duration left) {
        log.quarantined(left);
        gateway.respond(exchange, requestId, Refusal.QUARANTINED, left);
    }

    /**
     * Refuses a request for which no worker was found.
     *
     * @param service the service
     * @return the reason: there is none, or none may get a request now
     */
    Refusal withoutServer(final ServiceName service) {
        final boolean hasServers = !gateway.beliefs().servers().usable(service).isEmpty();
        final Refusal refusal = hasServers ? Refusal.NO_ELIGIBLE_SERVER : Refusal.NO_SERVER;
        if (hasServers) {
            log.noneEligible(gateway.beliefs().ineligible(service));
        }
        plain(refusal, Optional.of(service));
        return refusal;
    }

    /**
     * Refuses for any other reason. Where no worker of the service may get a request now, a caller
     * that may come back is told when the first may again.
     *
     * @param refusal the reason
     * @param service the service, empty if none was chosen
     */
    void plain(final Refusal refusal, final Optional<ServiceName> service) {
        final Optional<Duration> eligible =
                refusal.comeBack().isPresent()
                        ? service.flatMap(gateway.beliefs()::soonestEligible)
                        : Optional.empty();
        if (eligible.isPresent()) {
            gateway.respond(exchange, requestId, refusal, outlook.spread(eligible.get()));
        } else {
            gateway.respond(exchange, requestId, refusal);
        }
    }
}
