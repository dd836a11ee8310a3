package org.fennelstage.sizing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.policy.Policy;
import org.fennelstage.serving.Route;
import org.fennelstage.serving.RouteKind;
import org.fennelstage.serving.WeightedService;
import org.junit.jupiter.api.Test;

class SizePlanTest {

    private static final ModelId SMALL = ModelId.of("small");
    private static final ModelId MIDDLE = ModelId.of("middle");
    private static final ModelId LARGE = ModelId.of("large");

    private static Route route(final boolean retryable, final List<ModelId> sizes) {
        return new Route(
                "digest",
                "a.example",
                "/",
                RouteKind.STREAM,
                retryable,
                false,
                List.of(new WeightedService(ServiceName.of("models"), 1)),
                3,
                Duration.ofSeconds(12),
                Duration.ofSeconds(2),
                Duration.ofMillis(800),
                1,
                sizes);
    }

    private static SizePlan plan() {
        return SizePlan.of(
                route(true, List.of(SMALL, MIDDLE, LARGE)), ConfidenceGains.empty(), Policy.all());
    }

    @Test
    void smallestModelIsFirstAndItsAnswerAcceptedAtHighConfidence() {
        final SizePlan plan = plan();
        assertThat(plan.model()).contains(SMALL);
        assertThat(plan.nextModel(OptionalInt.of(80), m -> true)).isEmpty();
    }

    @Test
    void lowConfidenceEscalatesToTheLargestModel() {
        final SizePlan plan = plan();
        assertThat(plan.nextModel(OptionalInt.of(20), m -> true)).contains(LARGE);
        plan.escalate(LARGE);
        assertThat(plan.model()).contains(LARGE);
        assertThat(plan.nextModel(OptionalInt.of(20), m -> true)).isEmpty();
    }

    @Test
    void mediumConfidenceEscalatesToTheMiddleModel() {
        final SizePlan plan = plan();
        assertThat(plan.nextModel(OptionalInt.of(45), m -> true)).contains(MIDDLE);
        plan.escalate(MIDDLE);
        assertThat(plan.nextModel(OptionalInt.of(60), m -> true)).isEmpty();
        assertThat(plan.nextModel(OptionalInt.of(40), m -> true)).contains(LARGE);
    }

    /** Guards against accepting uncertain answers that a middle model could improve at low cost. */
    @Test
    void confidenceAboveEvenStillEscalatesToALikelyMiddleModel() {
        assertThat(plan().nextModel(OptionalInt.of(55), m -> true)).contains(MIDDLE);
        final Route withoutMiddle = route(true, List.of(SMALL, LARGE));
        assertThat(
                        SizePlan.of(withoutMiddle, ConfidenceGains.empty(), Policy.all())
                                .nextModel(OptionalInt.of(55), m -> true))
                .isEmpty();
    }

    /** Guards against dropping an answer when the larger model would miss the deadline. */
    @Test
    void answerIsAcceptedIfTheLargerModelWouldBeTooLate() {
        assertThat(plan().nextModel(OptionalInt.of(20), m -> !m.equals(LARGE))).isEmpty();
    }

    /** Guards against requests to a middle model that is hardly better than the smallest. */
    @Test
    void middleModelWithoutGainIsSkipped() {
        final ConfidenceGains gains = ConfidenceGains.empty();
        for (int i = 0; i < 60; i++) {
            gains.observe(SMALL, 40, MIDDLE, 41);
        }
        final SizePlan plan =
                SizePlan.of(route(true, List.of(SMALL, MIDDLE, LARGE)), gains, Policy.all());
        assertThat(plan.nextModel(OptionalInt.of(40), m -> true)).contains(LARGE);
    }

    /** Guards against running a request twice on a route whose requests must not be retried. */
    @Test
    void requestThatMustNotBeRetriedUsesOnlyTheLargestModel() {
        final SizePlan plan =
                SizePlan.of(
                        route(false, List.of(SMALL, LARGE)), ConfidenceGains.empty(), Policy.all());
        assertThat(plan.model()).contains(LARGE);
    }

    @Test
    void withoutSizesTheCallersModelIsUsed() {
        final SizePlan plan =
                SizePlan.of(route(true, List.of()), ConfidenceGains.empty(), Policy.all());
        assertThat(plan.model()).isEmpty();
        assertThat(plan.nextModel(OptionalInt.empty(), m -> true)).isEmpty();
    }
}
