package org.fennelstage.permit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.admission.AdmissionChange;
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
    private final boolean fair;
    private final Map<Incarnation, ServerPermits> servers = new HashMap<>();

    private PermitLedger(final MonotonicClock clock, final boolean fair) {
        this.clock = clock;
        this.fair = fair;
    }

    /**
     * Returns a ledger without permits that issues them first come, first served.
     *
     * @param clock the clock
     * @return the ledger
     */
    public static PermitLedger empty(final MonotonicClock clock) {
        return new PermitLedger(Objects.requireNonNull(clock, "clock is null"), false);
    }

    /**
     * Returns a ledger without permits that shares them by the priority and team of requests.
     *
     * @param clock the clock
     * @return the ledger
     */
    public static PermitLedger emptyWithFairShares(final MonotonicClock clock) {
        return new PermitLedger(Objects.requireNonNull(clock, "clock is null"), true);
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
        return servers.computeIfAbsent(server, s -> new ServerPermits(fair))
                .issue(permit, terms, now);
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

    /**
     * Returns which priorities and teams began or ceased to be limited since the last call, by
     * backend server.
     *
     * @return the changes; servers without any are missing
     */
    public Map<Incarnation, List<AdmissionChange>> admissionChanges() {
        final long now = clock.millis();
        final Map<Incarnation, List<AdmissionChange>> changes = new HashMap<>();
        servers.forEach((server, permits) -> changes.put(server, permits.admissionChanges(now)));
        changes.values().removeIf(List::isEmpty);
        return changes;
    }

    @Override
    public String toString() {
        return "PermitLedger[servers=" + servers.size() + "]";
    }
}
