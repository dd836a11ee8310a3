package org.fennelstage.permit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The permits issued for one backend server, and its slot time as they show it.
 *
 * <p>A permit is held for longer than its request is at the backend server: the messages about it
 * travel, and VMs that are short of processor time handle them late. What is in transit takes no
 * slot, so the limit allows for it in addition. A permit that is held for much longer than most is
 * for a request whose response was lost or whose VM has stopped: its slot is free, so it no longer
 * counts.
 *
 * <p>Invariant: as for {@link PermitLedger}. Not thread-safe.
 */
final class ServerPermits {

    /** Weight of a new sample of the slot time; about the last fifty count. */
    private static final double WEIGHT = 0.02;

    /** Weight of a new decision in the share of denied requests; about the last 200 count. */
    private static final double DECISION_WEIGHT = 0.005;

    /** Share of denied requests up to which a shortage of slots is taken to pass. */
    private static final double FEW_DENIED = 0.25;

    /** Slot time before the first sample, as a part of the objective. */
    private static final int INITIAL_DIVISOR = 4;

    /** Mean deviations from the mean time after which a permit is overdue, as for TCP segments. */
    private static final int OVERDUE_DEVIATIONS = 4;

    /** How long an objective counts after the last request that has it; milliseconds. */
    private static final long OBJECTIVE_MEMORY_MILLIS = 1_000;

    private record Issued(long atMillis, long leaseEndMillis, double aheadPerSlot) {}

    private final Map<PermitId, Issued> issued = new HashMap<>();
    private double deniedShare;
    private int samples;
    private double slotMillis;
    private double heldMillis;
    private double heldDeviationMillis;
    private double transitMillis;
    private long lastRequestMillis;
    private Optional<Duration> shortestObjective = Optional.empty();
    private long objectiveUntilMillis;

    PermitDecision issue(final PermitId permit, final PermitTerms terms, final long nowMillis) {
        lastRequestMillis = nowMillis;
        issued.values().removeIf(i -> i.leaseEndMillis() <= nowMillis);
        final Duration objective = shortestObjective(terms.objective(), nowMillis);
        final double slot =
                samples == 0 ? objective.toMillis() / (double) INITIAL_DIVISOR : slotMillis;
        final int limit =
                QueueLimit.requests(terms.capacity(), Math.max(1, slot), transitMillis, objective);
        final int counted = counted(objective, nowMillis);
        final boolean mayIssue = counted < limit;
        if (mayIssue) {
            final double ahead = Math.max(0, atServer(counted) + 1 - terms.capacity());
            final long leaseEndMillis = nowMillis + terms.lease().toMillis();
            issued.put(permit, new Issued(nowMillis, leaseEndMillis, ahead / terms.capacity()));
        }
        deniedShare += DECISION_WEIGHT * ((mayIssue ? 0 : 1) - deniedShare);
        return new PermitDecision(
                mayIssue,
                mayIssue ? counted + 1 : counted,
                limit,
                Duration.ofMillis(Math.round(slot)),
                untilRoom(slot, terms.capacity()));
    }

    /**
     * Returns when a denied request may be repeated. Where few are denied, a shortage passes and
     * there is room after a slot time. Where most are, a later repetition is no likelier to get a
     * permit, but its response is later; so it is made when the next slot is free.
     */
    private Duration untilRoom(final double slot, final int capacity) {
        final double slots = Math.min(1, 2 - deniedShare / FEW_DENIED);
        return Duration.ofMillis(Math.round(slot * Math.max(1.0 / capacity, slots)));
    }

    /**
     * Returns the shortest objective of recent requests. It applies to all, since those with a
     * longer one would fill the queue in which the others become late.
     */
    private Duration shortestObjective(final Duration objective, final long nowMillis) {
        final boolean replaces =
                nowMillis >= objectiveUntilMillis
                        || shortestObjective.filter(o -> o.compareTo(objective) < 0).isEmpty();
        if (replaces) {
            shortestObjective = Optional.of(objective);
            objectiveUntilMillis = nowMillis + OBJECTIVE_MEMORY_MILLIS;
        }
        return shortestObjective.get();
    }

    /** Returns how many permits are issued and not overdue. */
    private int counted(final Duration objective, final long nowMillis) {
        if (samples == 0) {
            return issued.size();
        }
        final double usualMillis = heldMillis + OVERDUE_DEVIATIONS * heldDeviationMillis;
        final double oldest = nowMillis - Math.max(objective.toMillis(), usualMillis);
        return (int) issued.values().stream().filter(i -> i.atMillis() > oldest).count();
    }

    /** Returns how many of some permits are for requests that are at the server. */
    private double atServer(final int permits) {
        return heldMillis == 0 ? permits : permits * (1 - transitMillis / heldMillis);
    }

    void onReturned(
            final PermitId permit, final Optional<Duration> atServer, final long nowMillis) {
        final Issued returned = issued.remove(permit);
        if (returned != null && atServer.isPresent()) {
            addSample(returned, nowMillis - returned.atMillis(), atServer.get().toMillis());
        }
    }

    private void addSample(final Issued permit, final double held, final double atServer) {
        samples++;
        final double weight = Math.max(WEIGHT, 1.0 / samples);
        final double atServerMillis = Math.min(held, atServer);
        // Those ahead take as long as this one, so the wait is a known part of the total.
        slotMillis += weight * (atServerMillis / (1 + permit.aheadPerSlot()) - slotMillis);
        heldDeviationMillis += weight * (Math.abs(held - heldMillis) - heldDeviationMillis);
        heldMillis += weight * (held - heldMillis);
        transitMillis += weight * (held - atServerMillis - transitMillis);
    }

    /** Returns when a permit was last asked for; milliseconds. */
    long lastRequestMillis() {
        return lastRequestMillis;
    }
}
