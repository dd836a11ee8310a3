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

    private static Route route(final boolean resumable, final List<ModelId> sizes) {
        return new Route(
                "digest",
                "a.example",
                "/",
                RouteKind.STREAM,
                resumable,
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
    void theSmallestModelIsAskedFirstAndItsAnswerTakenIfItBelievesInIt() {
        final SizePlan plan = plan();
        assertThat(plan.model()).contains(SMALL);
        assertThat(plan.nextModel(OptionalInt.of(80), m -> true)).isEmpty();
    }

    @Test
    void anAnswerThatTheSmallestModelDoubtsIsAskedOfTheLargest() {
        final SizePlan plan = plan();
        assertThat(plan.nextModel(OptionalInt.of(20), m -> true)).contains(LARGE);
        plan.escalate(LARGE);
        assertThat(plan.model()).contains(LARGE);
        assertThat(plan.nextModel(OptionalInt.of(20), m -> true)).isEmpty();
    }

    @Test
    void anAnswerThatTheSmallestModelNearlyBelievesInIsAskedOfTheMiddleOne() {
        final SizePlan plan = plan();
        assertThat(plan.nextModel(OptionalInt.of(45), m -> true)).contains(MIDDLE);
        plan.escalate(MIDDLE);
        assertThat(plan.nextModel(OptionalInt.of(60), m -> true)).isEmpty();
        assertThat(plan.nextModel(OptionalInt.of(40), m -> true)).contains(LARGE);
    }

    /**
     * Symptom: nearly a third of the answers with an opinion of 50 to 60 are not good enough.
     * Cause: an opinion is wrong by some ten points, and the largest model was the only other
     * choice, which costs too much for a half chance.
     */
    @Test
    void aMiddlingOpinionIsNotTakenWhereAMiddleModelWillDo() {
        assertThat(plan().nextModel(OptionalInt.of(55), m -> true)).contains(MIDDLE);
        final Route withoutMiddle = route(true, List.of(SMALL, LARGE));
        assertThat(
                        SizePlan.of(withoutMiddle, ConfidenceGains.empty(), Policy.all())
                                .nextModel(OptionalInt.of(55), m -> true))
                .isEmpty();
    }

    /**
     * Symptom: a request ends at its deadline though a model had answered it. Events: the small
     * model doubts its answer, the large one is asked and has a long queue. Cause: the answer was
     * dropped without a look at the time left.
     */
    @Test
    void anAnswerIsTakenIfNoLargerModelCanBeInTime() {
        assertThat(plan().nextModel(OptionalInt.of(20), m -> !m.equals(LARGE))).isEmpty();
    }

    /**
     * Symptom: middle models are asked in vain all day. Events: on this deployment the middle model
     * is hardly better than the smallest. Cause: its gain was assumed and not learnt.
     */
    @Test
    void aMiddleModelThatGainsNothingIsSoonLeftOut() {
        final ConfidenceGains opinions = ConfidenceGains.empty();
        for (int i = 0; i < 60; i++) {
            opinions.observe(SMALL, 40, MIDDLE, 41);
        }
        final SizePlan plan =
                SizePlan.of(route(true, List.of(SMALL, MIDDLE, LARGE)), opinions, Policy.all());
        assertThat(plan.nextModel(OptionalInt.of(40), m -> true)).contains(LARGE);
    }

    /**
     * Symptom: a request runs twice that must not. Cause: a small model's answer dropped on a route
     * whose requests may run once.
     */
    @Test
    void aRequestThatMustNotBeRepeatedAsksOneModelOnly() {
        final SizePlan plan =
                SizePlan.of(
                        route(false, List.of(SMALL, LARGE)), ConfidenceGains.empty(), Policy.all());
        assertThat(plan.model()).contains(LARGE);
    }

    @Test
    void withoutSizesTheCallersModelStays() {
        final SizePlan plan =
                SizePlan.of(route(true, List.of()), ConfidenceGains.empty(), Policy.all());
        assertThat(plan.model()).isEmpty();
        assertThat(plan.nextModel(OptionalInt.empty(), m -> true)).isEmpty();
    }
}
