package org.fennelstage.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerHealth;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.permit.PermitTerms;
import org.fennelstage.placement.Job;
import org.fennelstage.serving.Route;

/**
 * Obtains permits for the attempts of one request at saturated backend servers.
 *
 * <p>A backend server that is full works at full rate, but the requests in its queue become late.
 * So it gets no more of them than it can complete within the route's objective.
 *
 * <p>Invariant: a backend server that was denied once for the request is not asked for again. Not
 * thread-safe; confined to the event loop.
 */
final class PermitCheck {

    /** Part of the objective to wait for a permit, so that the response can still be in time. */
    private static final int TIMEOUT_DIVISOR = 4;

    /** Longest lease in objectives; a permit that is out for longer was probably lost. */
    private static final int MAX_LEASE_OBJECTIVES = 10;

    /** Time to wait for a permit for a request without an objective. */
    private static final Duration DEFAULT_REPLY_TIMEOUT = Duration.ofMillis(100);

    private final Gateway gateway;
    private final Route route;
    private final RequestLog log;
    private final Optional<TrafficClass> traffic;
    private final Set<Incarnation> denied = new HashSet<>();
    private Duration retryAfter = Duration.ZERO;

    /**
     * Creates a check for a request without permits.
     *
     * @param gateway the gateway
     * @param route the route of the request
     * @param log the log of the request
     * @param traffic the priority and team of the request; empty if permits are not shared by them
     */
    PermitCheck(
            final Gateway gateway,
            final Route route,
            final RequestLog log,
            final Optional<TrafficClass> traffic) {
        this.gateway = Objects.requireNonNull(gateway, "gateway is null");
        this.route = Objects.requireNonNull(route, "route is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.traffic = Objects.requireNonNull(traffic, "traffic is null");
    }

    /**
     * Returns whether a backend server needs a permit. Prompts need none: engines run them in
     * batches, and their wait is known well enough from the reported loads. Without an objective
     * nothing becomes late. Brittle servers always need one, since they stop after rejections.
     */
    boolean isNeeded(final TrackedServer server, final Job job) {
        if (isBrittle(server)) {
            return true;
        }
        if (job.prompt().isPresent() || route.objective().isZero()) {
            return false;
        }
        if (!gateway.placement().hasFreeSlot(server)) {
            server.onSaturated();
        }
        return server.isSaturated();
    }

    /** Returns whether no backend server is left that may have room, given the best one. */
    boolean isExhausted(final TrackedServer best) {
        return denied.contains(best.entry().incarnation())
                || (!denied.isEmpty() && best.health().tier() == ServerHealth.Tier.UNREACHABLE);
    }

    /** Returns when the caller may return, by the last denial. */
    Duration retryAfter() {
        return retryAfter;
    }

    boolean isDenied(final TrackedServer server) {
        return denied.contains(server.entry().incarnation());
    }

    /**
     * Asks for a permit.
     *
     * @param server the backend server
     * @param remaining the time until the request's deadline
     * @param listener receives the reply
     */
    void request(
            final TrackedServer server, final Duration remaining, final Consumer<Permit> listener) {
        final int capacity = Math.max(1, server.entry().capacity());
        // No request may wait at a brittle server; its permits are not shared, since they are also
        // for prompts, whose slot times differ too much to tell how many it completes.
        final boolean brittle = isBrittle(server);
        final PermitTerms terms =
                new PermitTerms(
                        capacity,
                        brittle ? Duration.ZERO : route.objective(),
                        lease(remaining),
                        brittle ? Optional.empty() : traffic);
        gateway.permits()
                .request(
                        server.entry(),
                        terms,
                        replyTimeout(),
                        permit -> onReply(server, permit, listener));
    }

    private boolean isBrittle(final TrackedServer server) {
        return gateway.state().brittleServices().isBrittle(server.entry().service());
    }

    private Duration replyTimeout() {
        return route.objective().isZero()
                ? DEFAULT_REPLY_TIMEOUT
                : route.objective().dividedBy(TIMEOUT_DIVISOR);
    }

    private Duration lease(final Duration remaining) {
        final long maxMillis = route.objective().toMillis() * MAX_LEASE_OBJECTIVES;
        final long leaseMillis =
                maxMillis == 0 ? remaining.toMillis() : Math.min(remaining.toMillis(), maxMillis);
        return Duration.ofMillis(Math.max(0, leaseMillis));
    }

    private void onReply(
            final TrackedServer server, final Permit permit, final Consumer<Permit> listener) {
        log.permit(server, permit);
        gateway.metrics().permit(server.entry().service().value(), permit);
        if (permit instanceof Permit.Denied denial) {
            denied.add(server.entry().incarnation());
            retryAfter = denial.decision().retryAfter(gateway.random().nextDouble());
        }
        listener.accept(permit);
    }
}
