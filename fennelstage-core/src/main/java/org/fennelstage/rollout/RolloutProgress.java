package org.fennelstage.rollout;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.fennelstage.id.DataCentreId;

/**
 * How far a roll-out has got, as kept in the object API; any VM can carry on from it.
 *
 * <p>Invariants, kept by conditional updates: the step, each data centre's share and evidence never
 * fall; once halted it stays halted; the shares handed out never exceed what the policy allows on
 * the evidence in this object. Immutable and thread-safe.
 *
 * @param step the present step, from 0
 * @param granted how many requests each data centre may have sent to the candidate in all
 * @param evidence what each data centre has found
 * @param halted the signal on which the candidate was found bad
 * @param done whether all steps have passed
 */
public record RolloutProgress(
        int step,
        Map<DataCentreId, Long> granted,
        Map<DataCentreId, Evidence> evidence,
        Optional<Signal> halted,
        boolean done) {

    public RolloutProgress {
        granted = Map.copyOf(granted);
        evidence = Map.copyOf(evidence);
        Objects.requireNonNull(halted, "halted is null");
    }

    /**
     * Returns the progress of a roll-out that has not begun.
     *
     * @return the progress
     */
    public static RolloutProgress begin() {
        return new RolloutProgress(0, Map.of(), Map.of(), Optional.empty(), false);
    }

    /**
     * Returns the evidence of all data centres.
     *
     * @return the sum
     */
    public Evidence total() {
        return evidence.values().stream().reduce(Evidence.none(), Evidence::plus);
    }

    /**
     * Returns how many requests a data centre may have sent to the candidate.
     *
     * @param dataCentre the data centre
     * @return the share
     */
    public long granted(final DataCentreId dataCentre) {
        return granted.getOrDefault(dataCentre, 0L);
    }

    /**
     * Returns how many requests all data centres together may have sent to the candidate.
     *
     * @return the sum of the shares
     */
    public long grantedInAll() {
        return granted.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Adds what a data centre has found, and draws the consequences.
     *
     * @param dataCentre the data centre
     * @param found its running totals
     * @param rollout the roll-out
     * @param policy the policy
     * @param ratedShare the share of answers that are rated
     * @return the progress after it
     */
    public RolloutProgress report(
            final DataCentreId dataCentre,
            final Evidence found,
            final Rollout rollout,
            final ExposurePolicy policy,
            final double ratedShare) {
        final Map<DataCentreId, Evidence> next = new TreeMap<>(evidence);
        next.merge(dataCentre, found, Evidence::max);
        final RolloutProgress merged = new RolloutProgress(step, granted, next, halted, done);
        if (halted.isPresent() || done) {
            return merged;
        }
        final Verdict verdict =
                policy.evaluate(merged.total(), rollout.tolerance(), step, ratedShare);
        if (verdict.halt().isPresent()) {
            return new RolloutProgress(step, granted, next, verdict.halt(), false);
        }
        if (!verdict.passed()) {
            return merged;
        }
        final boolean last = step + 1 >= rollout.steps().size();
        return new RolloutProgress(last ? step : step + 1, granted, next, halted, last);
    }

    /**
     * Grants a data centre a further share, no more than is left for all.
     *
     * @param dataCentre the data centre
     * @param wanted how many further requests it asks for
     * @param policy the policy
     * @param ratedShare the share of answers that are rated
     * @return the progress after it
     */
    public RolloutProgress grant(
            final DataCentreId dataCentre,
            final long wanted,
            final ExposurePolicy policy,
            final double ratedShare) {
        final long left = policy.allowed(total(), ratedShare) - grantedInAll();
        final long given = Math.max(0, Math.min(wanted, left));
        if (given == 0 || halted.isPresent() || done) {
            return this;
        }
        final Map<DataCentreId, Long> next = new TreeMap<>(granted);
        next.merge(dataCentre, given, Long::sum);
        return new RolloutProgress(step, next, evidence, halted, done);
    }

    /**
     * Notes that the candidate was found bad elsewhere.
     *
     * @param signal the signal
     * @return the progress after it
     */
    public RolloutProgress halt(final Signal signal) {
        return halted.isPresent()
                ? this
                : new RolloutProgress(step, granted, evidence, Optional.of(signal), false);
    }
}
