package org.fennelstage.permit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.time.MonotonicClock;

/**
 * The permits that one VM has issued for backend servers.
 *
 * <p>Invariant: a permit counts from its issue until its return, the time by which nearly all are
 * returned, or the end of its lease, whichever is first, so that one that is never returned does
 * not reduce the limit for ever. Not thread-safe.
 */
public final class PermitLedger {

    /**
     * How long a backend server without requests for permits is remembered; milliseconds. The
     * estimate of its slot time is lost with it.
     */
    private static final long MEMORY_MILLIS = 60_000;

    private final MonotonicClock clock;
    private final Map<Incarnation, ServerPermits> servers = new HashMap<>();

    private PermitLedger(final MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns a ledger without permits.
     *
     * @param clock the clock
     * @return the ledger
     */
    public static PermitLedger empty(final MonotonicClock clock) {
        return new PermitLedger(Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Issues a permit if the response can be in time with the permits that are issued already.
     *
     * @param server the backend server
     * @param permit the permit
     * @param terms what the request needs
     * @return the decision
     */
    public PermitDecision issue(
            final Incarnation server, final PermitId permit, final PermitTerms terms) {
        final long now = clock.millis();
        servers.values().removeIf(s -> s.lastRequestMillis() < now - MEMORY_MILLIS);
        return servers.computeIfAbsent(server, s -> new ServerPermits()).issue(permit, terms, now);
    }

    /**
     * Takes a permit back; one that is not issued is ignored.
     *
     * @param server the backend server
     * @param permit the permit
     * @param atServer how long the request was at the backend server, waiting or running; empty if
     *     it got no complete response
     */
    public void onReturned(
            final Incarnation server, final PermitId permit, final Optional<Duration> atServer) {
        final ServerPermits permits = servers.get(server);
        if (permits != null) {
            permits.onReturned(permit, atServer, clock.millis());
        }
    }

    @Override
    public String toString() {
        return "PermitLedger[servers=" + servers.size() + "]";
    }
}
