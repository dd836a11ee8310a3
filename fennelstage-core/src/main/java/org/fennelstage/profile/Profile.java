package org.fennelstage.profile;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;

/**
 * A promise of answer quality, cost and speed that callers choose instead of a model.
 *
 * <p>Invariants: at least one model; quality in [0, 1]; durations positive. Immutable and
 * thread-safe.
 *
 * @param id the name callers use
 * @param models the models that may answer, cheapest first
 * @param quality the least mean rating to be reached, in [0, 1]
 * @param firstToken the objective for the time to the first token
 * @param deadline the longest useful time to the whole answer
 * @param idempotent whether a request may run more than once
 * @param maxTokens the bound on generated tokens
 */
public record Profile(
        ProfileId id,
        List<ModelId> models,
        double quality,
        Duration firstToken,
        Duration deadline,
        boolean idempotent,
        int maxTokens) {

    /** The share of the promised rating below which a single answer is poor. */
    private static final double POOR_SHARE = 0.75;

    public Profile {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(firstToken, "firstToken is null");
        Objects.requireNonNull(deadline, "deadline is null");
        models = List.copyOf(models);
        if (models.isEmpty()) {
            throw new IllegalArgumentException("profile " + id + " names no model");
        }
        if (!(quality >= 0 && quality <= 1)) {
            throw new IllegalArgumentException("profile " + id + ": quality outside [0, 1]");
        }
        if (firstToken.isNegative() || deadline.isNegative() || deadline.isZero()) {
            throw new IllegalArgumentException("profile " + id + ": durations must be positive");
        }
        if (maxTokens < 1) {
            throw new IllegalArgumentException("profile " + id + ": max tokens below 1");
        }
    }

    /**
     * Tells whether a single answer is poor. The promise is a mean, so many good answers lie a
     * little below it; a version is judged by those that lie far below.
     *
     * @param rating the rating, in [0, 1]
     * @return true if it is
     */
    public boolean isPoor(final double rating) {
        return rating < quality * POOR_SHARE;
    }

    /**
     * Returns the model that costs least.
     *
     * @return the first model
     */
    public ModelId cheapest() {
        return models.get(0);
    }

    /**
     * Returns the model that answers best.
     *
     * @return the last model
     */
    public ModelId best() {
        return models.get(models.size() - 1);
    }
}
