package org.fennelstage.rollout;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.fennelstage.id.DataCentreId;

/**
 * The progress of a rollout. It is kept in the store, so that any VM can continue the rollout.
 *
 * <p>Invariant, kept by conditional writes: the step and each data centre's grant and evidence
 * never decrease; a halted rollout stays halted; the sum of the grants never exceeds what the
 * policy allows for the evidence in this object. Immutable and thread-safe.
 *
 * @param step the index of the current step, from 0
 * @param granted the total number of requests that each data centre may send to the new version
 * @param evidence the running totals of each data centre
 * @param halted the signal on which the new version is bad, empty if the rollout is not halted
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
     * Returns the progress of a rollout that has not begun.
     *
     * @return the progress
     */
    public static RolloutProgress begin() {
        return new RolloutProgress(0, Map.of(), Map.of(), Optional.empty(), false);
    }

    /**
     * Returns the combined evidence of all data centres.
     *
     * @return the sum
     */
    public Evidence total() {
        return evidence.values().stream().reduce(Evidence.none(), Evidence::plus);
    }

    /**
     * Returns the total number of requests that a data centre may send to the new version.
     *
     * @param dataCentre the data centre
     * @return the number of requests, 0 if none were granted
     */
    public long granted(final DataCentreId dataCentre) {
        return granted.getOrDefault(dataCentre, 0L);
    }

    /**
     * Returns the total number of requests that all data centres may send to the new version.
     *
     * @return the sum of the grants
     */
    public long totalGranted() {
        return granted.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Merges the running totals of a data centre, then halts the rollout or passes its step if the
     * evidence shows it.
     *
     * @param dataCentre the data centre
     * @param totals the running totals of the data centre
     * @param rollout the rollout
     * @param policy the policy that decides on the evidence
     * @param ratedShare the fraction of answers that are rated, in [0, 1]
     * @return the new progress
     */
    public RolloutProgress report(
            final DataCentreId dataCentre,
            final Evidence totals,
            final Rollout rollout,
            final ExposurePolicy policy,
            final double ratedShare) {
        final Map<DataCentreId, Evidence> next = new TreeMap<>(evidence);
        next.merge(dataCentre, totals, Evidence::max);
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
        final boolean isLastStep = step + 1 >= rollout.steps().size();
        return new RolloutProgress(isLastStep ? step : step + 1, granted, next, halted, isLastStep);
    }

    /**
     * Grants further requests to a data centre, up to what the policy still allows.
     *
     * @param dataCentre the data centre
     * @param wanted the number of further requests asked for
     * @param policy the policy that limits the grants
     * @param ratedShare the fraction of answers that are rated, in [0, 1]
     * @return the new progress, this one if nothing was granted
     */
    public RolloutProgress grant(
            final DataCentreId dataCentre,
            final long wanted,
            final ExposurePolicy policy,
            final double ratedShare) {
        final long remaining = policy.allowed(total(), ratedShare) - totalGranted();
        final long added = Math.max(0, Math.min(wanted, remaining));
        if (added == 0 || halted.isPresent() || done) {
            return this;
        }
        final Map<DataCentreId, Long> next = new TreeMap<>(granted);
        next.merge(dataCentre, added, Long::sum);
        return new RolloutProgress(step, next, evidence, halted, done);
    }

    /**
     * Halts the rollout.
     *
     * @param signal the signal on which the new version is bad
     * @return the new progress, this one if the rollout is halted already
     */
    public RolloutProgress halt(final Signal signal) {
        return halted.isPresent()
                ? this
                : new RolloutProgress(step, granted, evidence, Optional.of(signal), false);
    }
}
