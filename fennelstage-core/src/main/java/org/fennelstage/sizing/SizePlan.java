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
 * The sizes that one request asks, in order.
 *
 * <p>A small model costs a fraction of a large one and takes a fraction of a worker's time, and its
 * answer comes with its own opinion of it. So a request is asked of the smallest model first, while
 * nothing has gone to the caller. If that one doubts its answer, the smallest of the others that
 * will likely do is asked, as far as the opinion tells ({@link Opinions}); the largest if none
 * will.
 *
 * <p>It gains the price of the large models where a small one will do, and their time for requests
 * that need them, at a little worth of the answers that a small model takes for good.
 *
 * <p>Not thread-safe.
 */
public final class SizePlan {

    /**
     * Opinion from which an answer is taken where only the largest model could do better. That one
     * takes ten times a small one's time, which others wait for; an answer that is more likely good
     * than not is worth more.
     */
    private static final int ACCEPTED_BEFORE_LARGEST = Opinions.EVEN;

    /**
     * Opinion from which an answer is taken where a middle model will likely do. Opinions are wrong
     * by some ten points: of answers with 50 to 60 nearly a third are not good enough, and a middle
     * model costs a quarter of the largest.
     */
    private static final int ACCEPTED_BEFORE_MIDDLE = 60;

    /**
     * Chance from which a middle model is asked before the largest. It takes a quarter of the time
     * and half of the price; asked in vain it is lost with the time of the caller.
     */
    private static final double WORTH_ASKING = 0.5;

    private final List<ModelId> sizes;
    private final Opinions opinions;
    private final boolean usesMiddle;
    private int present;

    private SizePlan(
            final List<ModelId> sizes,
            final Opinions opinions,
            final boolean usesMiddle,
            final int first) {
        this.sizes = sizes;
        this.opinions = opinions;
        this.usesMiddle = usesMiddle;
        this.present = first;
    }

    /**
     * Returns the plan of a request.
     *
     * @param route its route
     * @param opinions what is known of the models
     * @param policy whether small models are asked first, and middle ones at all
     * @return the plan; without sizes if the caller named the model
     */
    public static SizePlan of(final Route route, final Opinions opinions, final Policy policy) {
        Objects.requireNonNull(opinions, "opinions is null");
        final List<ModelId> sizes = route.sizes();
        final boolean smallFirst = route.retryable() && policy.uses(Mechanism.SMALL_FIRST);
        return new SizePlan(
                sizes,
                opinions,
                policy.uses(Mechanism.MIDDLE_MODELS),
                smallFirst ? 0 : Math.max(0, sizes.size() - 1));
    }

    /**
     * Returns the model to ask.
     *
     * @return the model, empty if the caller named it
     */
    public Optional<ModelId> model() {
        return sizes.isEmpty() ? Optional.empty() : Optional.of(sizes.get(present));
    }

    /**
     * Returns the model that is to be asked in place of one that has answered.
     *
     * @param opinion the present model's opinion of its answer, 0 to 100; empty if it gave none
     * @param inTime tells whether a model can begin to answer before the caller's deadline; an
     *     answer that is in doubt is worth more than one that comes too late
     * @return the model, empty if the answer is to be taken
     */
    public Optional<ModelId> better(final OptionalInt opinion, final Predicate<ModelId> inTime) {
        if (opinion.isEmpty() || isLargest()) {
            return Optional.empty();
        }
        return better(opinion.getAsInt()).filter(inTime);
    }

    private Optional<ModelId> better(final int value) {
        final Optional<ModelId> middle = middle(value);
        if (middle.isPresent()) {
            return middle.filter(m -> value < ACCEPTED_BEFORE_MIDDLE);
        }
        return value < ACCEPTED_BEFORE_LARGEST
                ? Optional.of(sizes.get(sizes.size() - 1))
                : Optional.empty();
    }

    /** The smallest model between the present one and the largest that will likely do. */
    private Optional<ModelId> middle(final int opinion) {
        if (!usesMiddle) {
            return Optional.empty();
        }
        return sizes.subList(present + 1, sizes.size() - 1).stream()
                .filter(m -> opinions.chance(sizes.get(present), opinion, m) >= WORTH_ASKING)
                .findFirst();
    }

    /**
     * Goes on to another model.
     *
     * @param model one of the route's sizes
     */
    public void escalate(final ModelId model) {
        final int index = sizes.indexOf(model);
        if (index < 0) {
            throw new IllegalArgumentException("no size of the route: " + model);
        }
        present = index;
    }

    private boolean isLargest() {
        return present >= sizes.size() - 1;
    }
}
