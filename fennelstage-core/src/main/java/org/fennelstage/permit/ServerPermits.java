package org.fennelstage.permit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.admission.Admission;
import org.fennelstage.admission.AdmissionChange;
import org.fennelstage.admission.ClassAdmission;
import org.fennelstage.admission.TrafficClass;

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

    /**
     * Part of the waiting places that is kept free for classes of which a larger part is admitted
     * if the whole capacity goes to them, so that they get no fewer permits by the chance of their
     * arrival. With all of it kept free fewer requests are served.
     */
    private static final double RESERVED_PART = 0.75;

    /**
     * Part of the waiting places that requests over their share may take if no class has a larger
     * part admitted. With none, slots whose permits are returned together stay unused until the
     * next request arrives.
     */
    private static final double LENT_PART = 0.5;

    /**
     * Part of the objective after which a request over its share is repeated if most of its class
     * are denied, so that its response can be in time. Fewer are if it waits for credit.
     */
    private static final double REPEAT_PART = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private record Issued(long atMillis, long leaseEndMillis, double aheadPerSlot) {}

    private final Map<PermitId, Issued> issued = new HashMap<>();
    private final Optional<ClassAdmission> shares;
    private double deniedShare;
    private int samples;
    private double slotMillis;
    private double heldMillis;
    private double heldDeviationMillis;
    private double transitMillis;
    private long lastRequestMillis;
    private Optional<Duration> shortestObjective = Optional.empty();
    private long objectiveUntilMillis;

    /**
     * Creates an account without permits.
     *
     * @param fair whether permits are shared by priority and team, else first come, first served
     */
    ServerPermits(final boolean fair) {
        this.shares = fair ? Optional.of(new ClassAdmission()) : Optional.empty();
    }

    PermitDecision issue(final PermitId permit, final PermitTerms terms, final long nowMillis) {
        lastRequestMillis = nowMillis;
        issued.values().removeIf(i -> i.leaseEndMillis() <= nowMillis);
        final Duration objective = shortestObjective(terms.objective(), nowMillis);
        final double slot =
                samples == 0 ? objective.toMillis() / (double) INITIAL_DIVISOR : slotMillis;
        final int limit =
                QueueLimit.requests(terms.capacity(), Math.max(1, slot), transitMillis, objective);
        final int counted = counted(objective, nowMillis);
        final Optional<Admission> admission = admission(terms, slot, nowMillis);
        final boolean mayIssue =
                counted < admission.map(a -> limit(a, terms.capacity(), slot, limit)).orElse(limit);
        onDecided(admission, mayIssue, counted < limit, nowMillis);
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
                untilRoom(admission, slot, terms.capacity(), objective),
                admission);
    }

    private Optional<Admission> admission(
            final PermitTerms terms, final double slot, final long nowMillis) {
        // Without a sample the rate of the server is unknown, and so is any shortage.
        final double perSecond =
                samples == 0
                        ? Double.POSITIVE_INFINITY
                        : MILLIS_PER_SECOND * terms.capacity() / Math.max(1, slot);
        return shares.map(
                s ->
                        s.onRequest(
                                terms.traffic().orElse(TrafficClass.UNKNOWN),
                                perSecond,
                                nowMillis));
    }

    /** Returns how many permits may be issued for a request to get one. */
    private int limit(
            final Admission admission, final int capacity, final double slot, final int limit) {
        // Without time to wait the limit is what keeps all slots in use.
        final int busy =
                QueueLimit.requests(capacity, Math.max(1, slot), transitMillis, Duration.ZERO);
        final int waiting = Math.max(0, limit - busy);
        return switch (admission.standing()) {
            case WITHIN_SHARE -> limit;
            case LIMITED -> limit - (int) (RESERVED_PART * admission.protectedPart() * waiting);
            // Where none may wait, one permit is kept for the others unless it is the only one.
            case OVER_SHARE ->
                    Math.max(
                            1,
                            Math.min(
                                    limit - 1,
                                    busy
                                            + (int)
                                                    (LENT_PART
                                                            * (1 - admission.protectedPart())
                                                            * waiting)));
        };
    }

    private void onDecided(
            final Optional<Admission> admission,
            final boolean issued,
            final boolean wouldBeIssued,
            final long nowMillis) {
        if (issued) {
            admission.ifPresent(a -> shares.orElseThrow().onIssued(a));
        } else if (wouldBeIssued) {
            admission.ifPresent(a -> shares.orElseThrow().onDenied(a, nowMillis));
        }
    }

    /** Returns the classes that began or ceased to be limited since the last call. */
    List<AdmissionChange> admissionChanges(final long nowMillis) {
        return shares.map(s -> s.changes(nowMillis)).orElse(List.of());
    }

    /**
     * Returns when a denied request of a class may be repeated. Over its share it is likely to get
     * a permit when the class has credit again, unless most of the class are denied; then no later
     * repetition is likelier to get one, and it is made while the response can still be in time.
     */
    private Duration untilRoom(
            final Optional<Admission> admission,
            final double slot,
            final int capacity,
            final Duration objective) {
        final Duration room = untilRoom(slot, capacity);
        if (admission.isEmpty()) {
            return room;
        }
        final double creditMillis = admission.get().untilCredit().toMillis();
        final double likely = Math.max(0, passing(1 - admission.get().admittedPart()));
        final double inTimeMillis = objective.toMillis() * REPEAT_PART;
        final double millis = Math.max(creditMillis * likely, Math.min(creditMillis, inTimeMillis));
        return Duration.ofMillis(Math.max(room.toMillis(), Math.round(millis)));
    }

    /**
     * Returns when a denied request may be repeated. Where few are denied, a shortage passes and
     * there is room after a slot time. Where most are, a later repetition is no likelier to get a
     * permit, but its response is later; so it is made when the next slot is free.
     */
    private Duration untilRoom(final double slot, final int capacity) {
        final double slots = passing(deniedShare);
        return Duration.ofMillis(Math.round(slot * Math.max(1.0 / capacity, slots)));
    }

    /** Returns 1 if a shortage passes by the share of denied requests, and 0 or less if not. */
    private static double passing(final double denied) {
        return Math.min(1, 2 - denied / FEW_DENIED);
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
