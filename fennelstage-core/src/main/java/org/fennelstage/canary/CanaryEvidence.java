package org.fennelstage.canary;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.id.BackendServerId;

/**
 * Decides from responses whether a new version is worse than the current one.
 *
 * <p>The responses that all VMs have seen count, since one VM may see too few of the new version
 * before the fleet as a whole has exceeded the allowed share of bad ones. Each measure has a
 * cumulative sum of its own, and failures have one for each route: a version that fails need not be
 * slow, or fail on all routes. Failures in a load test have one for each backend server, since good
 * responses of one that is not full yet say nothing about another that is. Only responses count;
 * broken connections and stopped servers are no evidence against a version.
 *
 * <p>Invariant: what another VM reports counts once, however often and in which order its messages
 * arrive. Not thread-safe.
 */
final class CanaryEvidence {

    /**
     * Sums from which the version is bad. Two failures in a row suffice if the current version
     * rarely fails; slow responses are less certain and need one more.
     */
    private static final Map<Measure, Double> BAD_SUMS =
            Map.of(
                    Measure.FAILURE, 6.0,
                    Measure.FAILURE_UNDER_LOAD, 6.0,
                    Measure.FIRST_BYTE, 10.0,
                    Measure.PACE, 8.0,
                    Measure.MEAN_PACE, 6.0);

    /** Part of {@link #BAD_SUMS} that a single backend server can add; two are needed at least. */
    private static final double MAX_SERVER_PART = 0.55;

    /** Sum of a single backend server in a load test. */
    private static final double MAX_UNDER_LOAD =
            BAD_SUMS.get(Measure.FAILURE_UNDER_LOAD) * MAX_SERVER_PART;

    /** Part of {@link #BAD_SUMS} from which the version is in doubt; above that of one server. */
    private static final double DOUBT_PART = 0.6;

    /** Sum after a failure of a version that rarely fails, less some good responses. */
    private static final double RECENT_FAILURE = 2;

    /**
     * How far the rate of bad responses of a bad version exceeds that of a good one: the least
     * excess that matters to callers.
     */
    private static final double BAD_EXCESS = 0.3;

    private static final double MAX_RATE = 0.95;

    private final Map<EvidenceKey, CappedSum> sums = new HashMap<>();
    private final Map<EvidenceKey, MeasureTotals> own = new HashMap<>();
    private final Map<Long, Map<EvidenceKey, MeasureTotals>> reported = new HashMap<>();
    private long goodPaces;
    private int unjudged;
    private int notComparable;
    private int ownBad;

    /**
     * Adds a response that this VM has received.
     *
     * @param key what was compared
     * @param server its backend server
     * @param bad whether it failed or was slow
     * @param usualRate the rate of bad responses that a good version may have
     */
    void add(
            final EvidenceKey key,
            final BackendServerId server,
            final boolean bad,
            final double usualRate) {
        if (bad) {
            ownBad++;
        }
        final double usual = Math.min(MAX_RATE - 0.01, usualRate);
        final double badRate = Math.min(MAX_RATE, usual + BAD_EXCESS);
        add(key, server, Math.log(bad ? badRate / usual : (1 - badRate) / (1 - usual)));
    }

    /**
     * Adds a response that this VM has received.
     *
     * @param key what was compared
     * @param server its backend server
     * @param evidence the log likelihood ratio of a bad and a good version; above 0 if it speaks
     *     against the version
     */
    void add(final EvidenceKey key, final BackendServerId server, final double evidence) {
        if (evidence <= 0 && key.measure() == Measure.FAILURE_UNDER_LOAD && sum(key) == 0) {
            // Sent later in one total with a failure, it would weaken that at other VMs.
            return;
        }
        final MeasureTotals before = own.getOrDefault(key, MeasureTotals.NONE);
        final MeasureTotals after =
                evidence > 0 ? before.plusBad(server, evidence) : before.plusGood(-evidence);
        own.put(key, after);
        apply(key, before, after);
    }

    /**
     * Adds what another VM has seen.
     *
     * @param evidence all that it has seen since the order
     */
    void onReported(final RolloutEvidence evidence) {
        final Map<EvidenceKey, MeasureTotals> known =
                reported.computeIfAbsent(evidence.source(), s -> new HashMap<>());
        evidence.totals()
                .forEach(
                        (key, totals) -> {
                            final MeasureTotals before =
                                    known.getOrDefault(key, MeasureTotals.NONE);
                            known.put(key, before.max(totals));
                            apply(key, before, known.get(key));
                        });
    }

    private void apply(
            final EvidenceKey key, final MeasureTotals before, final MeasureTotals after) {
        final double maxPerServer = BAD_SUMS.get(key.measure()) * MAX_SERVER_PART;
        final CappedSum sum = sums.computeIfAbsent(key, k -> new CappedSum(maxPerServer));
        after.bad()
                .forEach(
                        (server, units) -> {
                            final long added = units - before.bad().getOrDefault(server, 0L);
                            if (added > 0) {
                                sum.increase(server, added / MeasureTotals.UNITS);
                            }
                        });
        sum.decrease((after.good() - before.good()) / MeasureTotals.UNITS);
        if (key.measure() == Measure.PACE) {
            goodPaces += after.goodResponses() - before.goodResponses();
        }
    }

    /** Records that a response of the new version has begun whose pace is not known yet. */
    void onBegun() {
        unjudged++;
    }

    /** Records that the pace of a response is known, or that it ended without one. */
    void onJudged() {
        unjudged--;
    }

    /** Records that the pace of a response is known, but not the usual one. */
    void onNotComparable() {
        notComparable++;
    }

    /**
     * Returns whether the new version is bad by the present evidence.
     *
     * @return true until good responses have reduced the sums again
     */
    boolean isBad() {
        return exceeds(1);
    }

    /**
     * Returns whether it is too early to give the new version all traffic: recent responses speak
     * against it, or more responses are still running than have been good.
     *
     * @return false also for a version without any response
     */
    boolean isInDoubt() {
        return exceeds(DOUBT_PART) || unjudged > goodPaces;
    }

    /**
     * Returns whether more responses could not be compared than have been good, as on a VM that
     * started during the rollout.
     *
     * @return false for a version without any response
     */
    boolean isUnproven() {
        return unjudged + notComparable > goodPaces;
    }

    private boolean exceeds(final double part) {
        return sumUnderLoad() >= BAD_SUMS.get(Measure.FAILURE_UNDER_LOAD) * part
                || sums.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        entry.getValue().value()
                                                >= BAD_SUMS.get(entry.getKey().measure()) * part);
    }

    private double sumUnderLoad() {
        return sums.entrySet().stream()
                .filter(entry -> entry.getKey().measure() == Measure.FAILURE_UNDER_LOAD)
                .mapToDouble(entry -> entry.getValue().value())
                .sum();
    }

    /** Returns whether there has been a failure, with few good responses since. */
    boolean hasFailedRecently() {
        return sums.entrySet().stream()
                .filter(entry -> entry.getKey().measure().isFailure())
                .anyMatch(entry -> entry.getValue().value() >= RECENT_FAILURE);
    }

    /** Returns whether a backend server has added as much evidence in a load test as one can. */
    boolean failsUnderLoad(final BackendServerId server) {
        return sum(EvidenceKey.underLoad(server)) >= MAX_UNDER_LOAD;
    }

    private double sum(final EvidenceKey key) {
        return Optional.ofNullable(sums.get(key)).map(CappedSum::value).orElse(0.0);
    }

    /** Returns how often this VM has seen a failure or a slow response; it never decreases. */
    int ownBad() {
        return ownBad;
    }

    /** Returns what this VM has seen. */
    Map<EvidenceKey, MeasureTotals> own() {
        return Map.copyOf(own);
    }

    @Override
    public String toString() {
        final StringBuilder text = new StringBuilder();
        sums.forEach(
                (key, sum) -> {
                    if (sum.value() > 0) {
                        text.append(key).append('=');
                        text.append(Math.round(sum.value() * 10) / 10.0).append(' ');
                    }
                });
        return text + "good=" + goodPaces + " running=" + unjudged + " vms=" + reported.size();
    }
}
