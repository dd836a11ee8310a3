package org.fennelstage.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.fennelstage.id.ModelId;
import org.fennelstage.serving.Route;
import org.fennelstage.sizing.ConfidenceGains;
import org.fennelstage.sizing.SizePlan;

/**
 * Which model one request is put to, and what its models' opinions teach. Confined to the event
 * loop.
 */
final class ModelChoice {

    /** What a model thinks of its answer, 0 to 100. */
    private record Opinion(ModelId model, int value) {}

    private final SizePlan sizes;
    private final ConfidenceGains opinions;
    private Optional<Opinion> first = Optional.empty();

    private ModelChoice(final SizePlan sizes, final ConfidenceGains opinions) {
        this.sizes = sizes;
        this.opinions = opinions;
    }

    static ModelChoice of(final Route route, final Gateway gateway) {
        final ConfidenceGains opinions = gateway.beliefs().opinions(route.name());
        return new ModelChoice(SizePlan.of(route, opinions, gateway.policy()), opinions);
    }

    /** Returns the model to ask, empty if the caller named it. */
    Optional<ModelId> model() {
        return sizes.model();
    }

    /**
     * Returns the model that is to be asked in place of the one that has begun to answer.
     *
     * @param opinion what that one thinks of its answer, empty if it does not say
     * @param inTime tells whether a model can begin to answer before the caller's deadline
     * @return the model, empty if the answer is to be taken
     */
    Optional<ModelId> better(final OptionalInt opinion, final Predicate<ModelId> inTime) {
        Objects.requireNonNull(inTime, "inTime is null");
        if (opinion.isPresent() && sizes.model().isPresent()) {
            learn(new Opinion(sizes.model().get(), opinion.getAsInt()));
        }
        return sizes.nextModel(opinion, inTime);
    }

    void escalate(final ModelId model) {
        sizes.escalate(model);
    }

    /** A request that was put to two models tells what the smaller one's opinion is worth. */
    private void learn(final Opinion now) {
        if (first.isEmpty()) {
            first = Optional.of(now);
        } else if (!first.get().model().equals(now.model())) {
            final Opinion before = first.get();
            opinions.observe(before.model(), before.value(), now.model(), now.value());
        }
    }
}
