package org.fennelstage.sizing;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fennelstage.id.ModelId;
import org.junit.jupiter.api.Test;

class ConfidenceGainsTest {

    private static final ModelId SMALL = ModelId.of("small");
    private static final ModelId MIDDLE = ModelId.of("middle");

    @Property(tries = 200)
    void probabilityNeverFallsAsTheConfidenceRises(
            @ForAll @IntRange(max = 99) final int confidence,
            @ForAll @IntRange(max = 100) final int largerConfidence) {
        final ConfidenceGains gains = ConfidenceGains.empty();
        for (int i = 0; i < 20; i++) {
            gains.observe(SMALL, 30, MIDDLE, largerConfidence);
        }
        assertThat(gains.probabilityGoodEnough(SMALL, confidence + 1, MIDDLE))
                .isGreaterThanOrEqualTo(gains.probabilityGoodEnough(SMALL, confidence, MIDDLE));
    }

    @Test
    void gainOfALargerModelIsLearnt() {
        final ConfidenceGains gains = ConfidenceGains.empty();
        assertThat(gains.probabilityGoodEnough(SMALL, 20, MIDDLE)).isLessThan(0.1);
        for (int i = 0; i < 200; i++) {
            gains.observe(SMALL, 20, MIDDLE, 70);
        }
        assertThat(gains.probabilityGoodEnough(SMALL, 20, MIDDLE)).isGreaterThan(0.9);
    }

    @Test
    void confidenceAtTheEndsOfTheScaleIsIgnored() {
        final ConfidenceGains gains = ConfidenceGains.empty();
        final double before = gains.probabilityGoodEnough(SMALL, 20, MIDDLE);
        for (int i = 0; i < 200; i++) {
            gains.observe(SMALL, 0, MIDDLE, 90);
            gains.observe(SMALL, 60, MIDDLE, 100);
        }
        assertThat(gains.probabilityGoodEnough(SMALL, 20, MIDDLE)).isEqualTo(before);
    }
}
