package org.fennelstage.canary;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CanaryPlanTest {

    private static final CanaryPlan PLAN = new CanaryPlan(Duration.ofSeconds(24), 0.0975);

    /** Guards against a completion that is written too late to be read before the end. */
    @Test
    void completionIsDue750MillisBeforeTheEnd() {
        assertThat(PLAN.isComplete(Duration.ofMillis(23_249))).isFalse();
        assertThat(PLAN.isComplete(Duration.ofMillis(23_250))).isTrue();
    }

    /**
     * Guards against requests in flight that are aborted when the current version's servers stop.
     */
    @Test
    void requestsInFlightGetAThirdOfTheMoveInAShortRollout() {
        final CanaryPlan shortPlan = new CanaryPlan(Duration.ofSeconds(8), 0.0975);
        final long moveMillis = 390;
        assertThat(shortPlan.allTrafficMoved(Duration.ofMillis(8_000 - moveMillis))).isTrue();
        assertThat(shortPlan.isComplete(Duration.ofMillis(8_000 - moveMillis * 2 / 3))).isFalse();
        assertThat(shortPlan.isComplete(Duration.ofMillis(8_000 - moveMillis / 2))).isTrue();
    }
}
