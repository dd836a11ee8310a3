package org.fennelstage.profile;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ProfileId;

/**
 * Objectives for quality, cost and latency that callers select instead of a model.
 *
 * <p>Invariants: at least one model; quality in [0, 1]; the objective for the first token is not
 * negative; the deadline is positive; at least one token. Immutable and thread-safe.
 *
 * @param id the name that callers use
 * @param models the models that may answer, from the cheapest to the best
 * @param quality the minimum mean rating of the answers, in [0, 1]
 * @param firstToken the latency objective for the first token
 * @param deadline the maximum time to the complete response
 * @param idempotent whether a request may run more than once
 * @param maxTokens the maximum number of generated tokens
 */
public record Profile(
        ProfileId id,
        List<ModelId> models,
        double quality,
        Duration firstToken,
        Duration deadline,
        boolean idempotent,
        int maxTokens) {

    /** The share of the promised mean rating below which a single answer is poor. */
    private static final double POOR_RATING_SHARE = 0.75;

    public Profile {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(firstToken, "firstToken is null");
        Objects.requireNonNull(deadline, "deadline is null");
        models = List.copyOf(models);
        if (models.isEmpty()) {
            throw new IllegalArgumentException("profile " + id + " has no models");
        }
        if (!(quality >= 0 && quality <= 1)) {
            throw new IllegalArgumentException(
                    "profile " + id + ": quality " + quality + " is outside [0, 1]");
        }
        if (firstToken.isNegative() || deadline.isNegative() || deadline.isZero()) {
            throw new IllegalArgumentException(
                    "profile "
                            + id
                            + ": firstToken must not be negative and deadline must be positive");
        }
        if (maxTokens < 1) {
            throw new IllegalArgumentException("profile " + id + ": maxTokens must be at least 1");
        }
    }

    /**
     * Returns whether the rating of a single answer is poor. The promised rating is a mean, so
     * acceptable answers may lie slightly below it; only ratings far below it are poor.
     *
     * @param rating the rating, in [0, 1]
     * @return true if the rating is poor
     */
    public boolean isPoor(final double rating) {
        return rating < quality * POOR_RATING_SHARE;
    }

    /**
     * Returns the model with the lowest cost.
     *
     * @return the first model
     */
    public ModelId cheapest() {
        return models.get(0);
    }

    /**
     * Returns the model with the best answers.
     *
     * @return the last model
     */
    public ModelId best() {
        return models.get(models.size() - 1);
    }
}
