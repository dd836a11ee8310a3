package org.fennelstage.sizing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;
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
        return SizePlan.of(route(true, List.of(SMALL, MIDDLE, LARGE)));
    }

    @Test
    void theSmallestModelIsAskedFirstAndItsAnswerTakenIfItBelievesInIt() {
        final SizePlan plan = plan();
        assertThat(plan.model()).contains(SMALL);
        assertThat(plan.accepts(OptionalInt.of(80))).isTrue();
    }

    @Test
    void anAnswerThatTheSmallestModelDoubtsIsAskedOfTheLargest() {
        final SizePlan plan = plan();
        assertThat(plan.accepts(OptionalInt.of(20))).isFalse();
        plan.escalate();
        assertThat(plan.model()).contains(LARGE);
        assertThat(plan.accepts(OptionalInt.of(20))).isTrue();
    }

    /**
     * Symptom: a request runs twice that must not. Cause: a small model's answer dropped on a route
     * whose requests may run once.
     */
    @Test
    void aRequestThatMustNotBeRepeatedAsksOneModelOnly() {
        final SizePlan plan = SizePlan.of(route(false, List.of(SMALL, LARGE)));
        assertThat(plan.model()).contains(LARGE);
    }

    @Test
    void withoutSizesTheCallersModelStays() {
        final SizePlan plan = SizePlan.of(route(true, List.of()));
        assertThat(plan.model()).isEmpty();
        assertThat(plan.accepts(OptionalInt.empty())).isTrue();
    }
}
