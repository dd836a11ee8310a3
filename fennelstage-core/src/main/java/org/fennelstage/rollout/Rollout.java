package org.fennelstage.rollout;

import java.util.List;
import java.util.Objects;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VersionId;

/**
 * The rollout order of a model: moves its requests step by step from the current version to a new
 * one.
 *
 * <p>Invariant: the versions differ and belong to one model; the steps ascend within (0, 1].
 * Immutable and thread-safe.
 *
 * @param id the id of the rollout
 * @param proven the current version
 * @param candidate the new version
 * @param state the state set by operators
 * @param steps the new version's fraction of new requests at each step, in (0, 1]
 * @param tolerance the acceptable failure rates of the new version
 */
public record Rollout(
        RolloutId id,
        VersionId proven,
        VersionId candidate,
        State state,
        List<Double> steps,
        Tolerance tolerance) {

    /** The state of a rollout as set by operators. */
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
                    "rollout " + id + " needs two different versions of one model");
        }
        checkSteps(id, steps);
    }

    /**
     * Returns the model whose version changes.
     *
     * @return the model
     */
    public ModelId model() {
        return proven.model();
    }

    /**
     * Returns a copy of this rollout in another state.
     *
     * @param next the state
     * @return the copy
     */
    public Rollout withState(final State next) {
        return new Rollout(id, proven, candidate, next, steps, tolerance);
    }

    private static void checkSteps(final RolloutId id, final List<Double> steps) {
        double previous = 0;
        for (final double step : steps) {
            if (!(step > previous && step <= 1)) {
                throw new IllegalArgumentException(
                        "rollout " + id + ": steps must ascend within (0, 1]");
            }
            previous = step;
        }
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("rollout " + id + " has no steps");
        }
    }
}
