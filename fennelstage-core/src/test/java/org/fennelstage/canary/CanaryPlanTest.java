package org.fennelstage.canary;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CanaryPlanTest {

    private static final CanaryPlan PLAN = new CanaryPlan(Duration.ofSeconds(24), 0.0975);

    /**
     * Symptom: a good version is taken for one that was not brought in in time. Events: its
     * completion is written 0.36 s before the time is over; whoever gave the order reads now and
     * then. Cause: the time to spare was a part of the move, which is short where the allowed share
     * is small.
     */
    @Test
    void theCompletionIsDueThreeQuartersOfASecondBeforeTheTimeIsOver() {
        assertThat(PLAN.complete(Duration.ofMillis(23_249))).isFalse();
        assertThat(PLAN.complete(Duration.ofMillis(23_250))).isTrue();
    }

    /** Symptom: requests in flight are cut. Cause: the old workers stop as the move begins. */
    @Test
    void workInFlightGetsAThirdOfTheMoveAlsoInAShortRollout() {
        final CanaryPlan brief = new CanaryPlan(Duration.ofSeconds(8), 0.0975);
        final long moveMillis = 390;
        assertThat(brief.moving(Duration.ofMillis(8_000 - moveMillis))).isTrue();
        assertThat(brief.complete(Duration.ofMillis(8_000 - moveMillis * 2 / 3))).isFalse();
        assertThat(brief.complete(Duration.ofMillis(8_000 - moveMillis / 2))).isTrue();
    }
}
