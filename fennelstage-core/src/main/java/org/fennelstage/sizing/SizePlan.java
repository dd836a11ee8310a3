package org.fennelstage.sizing;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.fennelstage.id.ModelId;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.policy.Policy;
import org.fennelstage.serving.Route;

/**
 * The model sizes that one request uses, in order.
 *
 * <p>A smaller model costs less and takes less of a backend server's time, and reports its
 * confidence in its answer. A request is therefore sent to the smallest model first, as long as no
 * byte has gone to the caller. If the confidence is low, the request goes on to the smallest model
 * that is likely good enough by {@link ConfidenceGains}, or to the largest if there is none.
 *
 * <p>Not thread-safe.
 */
public final class SizePlan {

    /**
     * Confidence from which an answer is accepted if only the largest model could improve it. That
     * one takes ten times as long as a small one, and other requests wait meanwhile; an answer that
     * is more likely good enough than not is worth more.
     */
    private static final int ACCEPTED_BEFORE_LARGEST = ConfidenceGains.EVEN;

    /**
     * Confidence from which an answer is accepted if a middle model is likely good enough. Higher
     * than {@link #ACCEPTED_BEFORE_LARGEST}: of the answers with a confidence of 50 to 60, nearly a
     * third are not good enough, and a middle model costs a quarter of the largest.
     */
    private static final int ACCEPTED_BEFORE_MIDDLE = 60;

    /**
     * Probability of a good enough answer from which a middle model precedes the largest. It takes
     * a quarter of the time at half the price; if its answer is not good enough, both are lost.
     */
    private static final double MIN_MIDDLE_PROBABILITY = 0.5;

    private final List<ModelId> sizes;
    private final ConfidenceGains gains;
    private final boolean usesMiddle;
    private int current;

    private SizePlan(
            final List<ModelId> sizes,
            final ConfidenceGains gains,
            final boolean usesMiddle,
            final int first) {
        this.sizes = sizes;
        this.gains = gains;
        this.usesMiddle = usesMiddle;
        this.current = first;
    }

    /**
     * Returns the plan of a request.
     *
     * @param route its route
     * @param gains the learnt confidence gains of the route's models
     * @param policy whether small models come first, and whether middle models are used
     * @return the plan; without sizes if the caller named the model
     */
    public static SizePlan of(final Route route, final ConfidenceGains gains, final Policy policy) {
        Objects.requireNonNull(gains, "gains is null");
        final List<ModelId> sizes = route.sizes();
        final boolean smallFirst = route.retryable() && policy.uses(Mechanism.SMALL_FIRST);
        return new SizePlan(
                sizes,
                gains,
                policy.uses(Mechanism.MIDDLE_MODELS),
                smallFirst ? 0 : Math.max(0, sizes.size() - 1));
    }

    /**
     * Returns the current model.
     *
     * @return the model, empty if the caller named it
     */
    public Optional<ModelId> model() {
        return sizes.isEmpty() ? Optional.empty() : Optional.of(sizes.get(current));
    }

    /**
     * Returns the larger model that the request should go on to after an answer.
     *
     * @param confidence the current model's confidence in its answer, 0 to 100; empty if it
     *     reported none
     * @param inTime returns whether a model can begin its response before the caller's deadline; an
     *     answer with low confidence is better than one that is too late
     * @return the model, empty if the answer is accepted
     */
    public Optional<ModelId> nextModel(
            final OptionalInt confidence, final Predicate<ModelId> inTime) {
        if (confidence.isEmpty() || isLargest()) {
            return Optional.empty();
        }
        return nextModel(confidence.getAsInt()).filter(inTime);
    }

    private Optional<ModelId> nextModel(final int confidence) {
        final Optional<ModelId> middle = middle(confidence);
        if (middle.isPresent()) {
            return middle.filter(m -> confidence < ACCEPTED_BEFORE_MIDDLE);
        }
        return confidence < ACCEPTED_BEFORE_LARGEST
                ? Optional.of(sizes.get(sizes.size() - 1))
                : Optional.empty();
    }

    /** The smallest model between the current and the largest that is likely good enough. */
    private Optional<ModelId> middle(final int confidence) {
        if (!usesMiddle) {
            return Optional.empty();
        }
        return sizes.subList(current + 1, sizes.size() - 1).stream()
                .filter(
                        m ->
                                gains.probabilityGoodEnough(sizes.get(current), confidence, m)
                                        >= MIN_MIDDLE_PROBABILITY)
                .findFirst();
    }

    /**
     * Makes another model the current one.
     *
     * @param model one of the route's models
     * @throws IllegalArgumentException if the route does not have the model
     */
    public void escalate(final ModelId model) {
        final int index = sizes.indexOf(model);
        if (index < 0) {
            throw new IllegalArgumentException(
                    "model " + model + " is not one of the route's models " + sizes);
        }
        current = index;
    }

    private boolean isLargest() {
        return current >= sizes.size() - 1;
    }
}
