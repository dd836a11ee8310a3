package org.fennelstage.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class QueueLimitTest {

    @Test
    void asManyWaitAsCanStartInAQuarterOfTheTimeToTheObjective() {
        assertThat(QueueLimit.requests(6, 40, 0, Duration.ofMillis(200))).isEqualTo(12);
    }

    @Test
    void noneWaitIfTheSlotTimeExceedsTheObjective() {
        assertThat(QueueLimit.requests(6, 400, 0, Duration.ofMillis(200))).isEqualTo(6);
    }

    /** Guards against slots that stay unused. */
    @Property(tries = 200)
    void theLimitIsNeverLessThanTheCapacity(
            @ForAll @IntRange(min = 1, max = 100_000) final int capacity,
            @ForAll @DoubleRange(min = 0.01, max = 1e6) final double slotMillis,
            @ForAll @IntRange(max = 1_000_000_000) final int objectiveMillis) {
        assertThat(QueueLimit.requests(capacity, slotMillis, 0, Duration.ofMillis(objectiveMillis)))
                .isGreaterThanOrEqualTo(capacity);
    }

    @Property(tries = 200)
    void aLongerObjectiveAllowsNoLess(
            @ForAll @IntRange(min = 1, max = 1_000) final int capacity,
            @ForAll @DoubleRange(min = 1, max = 10_000) final double slotMillis,
            @ForAll @IntRange(max = 100_000) final int objectiveMillis) {
        assertThat(
                        QueueLimit.requests(
                                capacity, slotMillis, 0, Duration.ofMillis(objectiveMillis + 1)))
                .isGreaterThanOrEqualTo(
                        QueueLimit.requests(
                                capacity, slotMillis, 0, Duration.ofMillis(objectiveMillis)));
    }

    @Property(tries = 200)
    void longerTransitAllowsNoLess(
            @ForAll @IntRange(min = 1, max = 1_000) final int capacity,
            @ForAll @DoubleRange(min = 1, max = 10_000) final double slotMillis,
            @ForAll @IntRange(max = 10_000) final int transitMillis,
            @ForAll @IntRange(max = 100_000) final int objectiveMillis) {
        final Duration objective = Duration.ofMillis(objectiveMillis);
        assertThat(QueueLimit.requests(capacity, slotMillis, transitMillis + 1, objective))
                .isGreaterThanOrEqualTo(
                        QueueLimit.requests(capacity, slotMillis, transitMillis, objective));
    }
}
