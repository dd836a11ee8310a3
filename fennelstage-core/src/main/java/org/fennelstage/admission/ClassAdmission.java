package org.fennelstage.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides for each request for a permit for one backend server whether it is within the share of
 * its traffic class.
 *
 * <p>Each class has a credit of permits that grows at the rate up to which it may be admitted. A
 * rate of credit, unlike a part of the requests, does not depend on how exactly the demand of the
 * class itself is known.
 *
 * <p>Invariant: without shortage, with less than two classes, and until demand has been seen for
 * {@link #MIN_AGE_MILLIS}, each request is within its share. Not thread-safe.
 */
public final class ClassAdmission {

    /** Demand seen for a shorter time is too uncertain to deny requests by; milliseconds. */
    static final long MIN_AGE_MILLIS = 1_000;

    /** Time between two computations of the shares; short against the decay of the demand. */
    private static final long UPDATE_MILLIS = 100;

    /**
     * Largest credit: permits, and seconds of the rate. Requests of a class that arrive together by
     * chance are admitted; a class that sent little before does not displace others for long.
     */
    private static final double MAX_CREDIT_PERMITS = 3;

    private static final double MAX_CREDIT_SECONDS = 0.1;

    /** How long after its last denial a class counts as limited in the log; milliseconds. */
    private static final long LIMITED_MILLIS = 5_000;

    /**
     * By how many standard deviations of its measured rate the demand has to exceed the capacity,
     * so that chance alone limits no class while there is no shortage.
     */
    private static final double SHORTAGE_DEVIATIONS = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final class State {
        private double credit = MAX_CREDIT_PERMITS;
        private long creditAtMillis;
        private long limitedUntilMillis = Long.MIN_VALUE;
        private long denied;
        private boolean limited;
    }

    private final ClassDemand demand = new ClassDemand();
    private final Map<TrafficClass, State> states = new HashMap<>();
    private Map<TrafficClass, Double> rates = Map.of();
    private FairShares shares = FairShares.unlimited(1);
    private long nextUpdateMillis = Long.MIN_VALUE;

    /**
     * Counts a request and returns what it may use.
     *
     * @param requested its class
     * @param capacityPerSecond requests per second that the backend server can complete
     * @param nowMillis the time; milliseconds
     * @return what it may use
     */
    public Admission onRequest(
            final TrafficClass requested, final double capacityPerSecond, final long nowMillis) {
        final TrafficClass traffic = demand.onRequest(requested, nowMillis);
        if (nowMillis >= nextUpdateMillis) {
            nextUpdateMillis = nowMillis + UPDATE_MILLIS;
            update(capacityPerSecond, nowMillis);
        }
        return shares.limit(traffic)
                .map(limit -> limited(traffic, limit, nowMillis))
                .orElse(Admission.withinShare(traffic));
    }

    private Admission limited(
            final TrafficClass traffic, final FairShares.Limit limit, final long nowMillis) {
        final double rate = limit.perSecond();
        final State state = state(traffic, nowMillis);
        final double max = MAX_CREDIT_PERMITS + rate * MAX_CREDIT_SECONDS;
        final double earned = rate * (nowMillis - state.creditAtMillis) / MILLIS_PER_SECOND;
        state.credit = Math.min(max, state.credit + earned);
        state.creditAtMillis = nowMillis;
        final boolean hasCredit = state.credit >= 1;
        final double untilCredit =
                hasCredit ? 0 : Math.ceil((1 - state.credit) / rate * MILLIS_PER_SECOND);
        return new Admission(
                traffic,
                hasCredit ? Admission.Standing.LIMITED : Admission.Standing.OVER_SHARE,
                limit.admittedPart(),
                Duration.ofMillis((long) untilCredit),
                limit.protectedPart());
    }

    private State state(final TrafficClass traffic, final long nowMillis) {
        return states.computeIfAbsent(
                traffic,
                t -> {
                    final State state = new State();
                    state.creditAtMillis = nowMillis;
                    return state;
                });
    }

    private void update(final double capacityPerSecond, final long nowMillis) {
        rates = demand.perSecond(nowMillis);
        states.keySet().retainAll(rates.keySet());
        final boolean known = rates.size() > 1 && demand.ageMillis(nowMillis) >= MIN_AGE_MILLIS;
        final double total = rates.values().stream().mapToDouble(Double::doubleValue).sum();
        final double margin = SHORTAGE_DEVIATIONS * ClassDemand.deviation(total);
        shares =
                known && total > capacityPerSecond + margin
                        ? FairShares.of(capacityPerSecond, rates)
                        : FairShares.unlimited(capacityPerSecond);
    }

    /**
     * Records that a permit was issued.
     *
     * @param admission what its request could use
     */
    public void onIssued(final Admission admission) {
        if (admission.standing() == Admission.Standing.LIMITED) {
            states.get(admission.traffic()).credit--;
        }
    }

    /**
     * Records that a permit was denied that would have been issued without shares.
     *
     * @param admission what its request could use
     * @param nowMillis the time; milliseconds
     */
    public void onDenied(final Admission admission, final long nowMillis) {
        final State state = state(admission.traffic(), nowMillis);
        state.denied++;
        state.limitedUntilMillis = nowMillis + LIMITED_MILLIS;
    }

    /**
     * Returns the classes that began or ceased to be limited since the last call.
     *
     * @param nowMillis the time; milliseconds
     * @return the changes
     */
    public List<AdmissionChange> changes(final long nowMillis) {
        final List<AdmissionChange> changes = new ArrayList<>();
        states.forEach(
                (traffic, state) -> {
                    final boolean limited = nowMillis < state.limitedUntilMillis;
                    if (limited != state.limited) {
                        changes.add(change(traffic, state, limited));
                        state.limited = limited;
                        state.denied = 0;
                    }
                });
        return changes;
    }

    private AdmissionChange change(
            final TrafficClass traffic, final State state, final boolean limited) {
        return new AdmissionChange(
                traffic,
                limited,
                state.denied,
                rates.getOrDefault(traffic, 0.0),
                shares.perSecond(traffic),
                shares.capacity());
    }

    @Override
    public String toString() {
        return "ClassAdmission[" + demand + ", " + shares + "]";
    }
}
