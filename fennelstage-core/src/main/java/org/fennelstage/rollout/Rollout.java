package org.fennelstage.rollout;

import java.util.List;
import java.util.Objects;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VersionId;

/**
 * The declared course of moving a model's traffic from a proven version to a candidate.
 *
 * <p>Invariant: both versions are of one model; shares ascend in (0, 1]. Immutable and thread-safe.
 *
 * @param id the roll-out
 * @param proven the version known to be good
 * @param candidate the version under test
 * @param state what operators want of it
 * @param steps the candidate's share of new work, step by step
 * @param tolerance the failure rates that are still acceptable
 */
public record Rollout(
        RolloutId id,
        VersionId proven,
        VersionId candidate,
        State state,
        List<Double> steps,
        Tolerance tolerance) {

    /** What operators want of a roll-out. */
    public enum State {
        RUNNING,
        PAUSED,
        ABORTED
    }

    public Rollout {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(proven, "proven is null");
        Objects.requireNonNull(candidate, "candidate is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(tolerance, "tolerance is null");
        steps = List.copyOf(steps);
        if (!proven.model().equals(candidate.model()) || proven.equals(candidate)) {
            throw new IllegalArgumentException(
                    "roll-out " + id + " needs two versions of one model");
        }
        checkSteps(id, steps);
    }

    /**
     * Returns the model whose traffic moves.
     *
     * @return the model
     */
    public ModelId model() {
        return proven.model();
    }

    /**
     * Returns this roll-out in another state.
     *
     * @param next the state
     * @return the roll-out
     */
    public Rollout withState(final State next) {
        return new Rollout(id, proven, candidate, next, steps, tolerance);
    }

    private static void checkSteps(final RolloutId id, final List<Double> steps) {
        double last = 0;
        for (final double step : steps) {
            if (!(step > last && step <= 1)) {
                throw new IllegalArgumentException(
                        "roll-out " + id + ": steps must ascend within (0, 1]");
            }
            last = step;
        }
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("roll-out " + id + " has no steps");
        }
    }
}
