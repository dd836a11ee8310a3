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
 * Chooses the model for one request and records the confidences that its models report.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ModelChoice {

    /** The confidence of a model in its answer, 0 to 100. */
    private record ModelConfidence(ModelId model, int value) {}

    private final SizePlan sizes;
    private final ConfidenceGains confidenceGains;
    private Optional<ModelConfidence> first = Optional.empty();

    private ModelChoice(final SizePlan sizes, final ConfidenceGains confidenceGains) {
        this.sizes = sizes;
        this.confidenceGains = confidenceGains;
    }

    static ModelChoice of(final Route route, final Gateway gateway) {
        final ConfidenceGains confidenceGains = gateway.state().confidenceGains(route.name());
        return new ModelChoice(
                SizePlan.of(route, confidenceGains, gateway.policy()), confidenceGains);
    }

    /** Returns the model to use, empty if the caller named it. */
    Optional<ModelId> model() {
        return sizes.model();
    }

    /**
     * Returns the larger model to try instead of the one that has started to respond.
     *
     * @param confidence the confidence reported with the response, empty if none was reported
     * @param canMeetDeadline tests whether a model can start to respond before the deadline
     * @return the larger model, empty if the response is to be kept
     */
    Optional<ModelId> nextModel(
            final OptionalInt confidence, final Predicate<ModelId> canMeetDeadline) {
        Objects.requireNonNull(canMeetDeadline, "canMeetDeadline is null");
        if (confidence.isPresent() && sizes.model().isPresent()) {
            observe(new ModelConfidence(sizes.model().get(), confidence.getAsInt()));
        }
        return sizes.nextModel(confidence, canMeetDeadline);
    }

    void escalate(final ModelId model) {
        sizes.escalate(model);
    }

    /** Records the gain in confidence if two models have answered this request. */
    private void observe(final ModelConfidence now) {
        if (first.isEmpty()) {
            first = Optional.of(now);
        } else if (!first.get().model().equals(now.model())) {
            final ModelConfidence before = first.get();
            confidenceGains.observe(before.model(), before.value(), now.model(), now.value());
        }
    }
}
