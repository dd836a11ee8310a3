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
    void theChanceNeverFallsAsTheOpinionRises(
            @ForAll @IntRange(max = 99) final int opinion,
            @ForAll @IntRange(max = 100) final int then) {
        final ConfidenceGains opinions = ConfidenceGains.empty();
        for (int i = 0; i < 20; i++) {
            opinions.observe(SMALL, 30, MIDDLE, then);
        }
        assertThat(opinions.chance(SMALL, opinion + 1, MIDDLE))
                .isGreaterThanOrEqualTo(opinions.chance(SMALL, opinion, MIDDLE));
    }

    @Test
    void theGainOfALargerModelIsLearnt() {
        final ConfidenceGains opinions = ConfidenceGains.empty();
        assertThat(opinions.chance(SMALL, 20, MIDDLE)).isLessThan(0.1);
        for (int i = 0; i < 200; i++) {
            opinions.observe(SMALL, 20, MIDDLE, 70);
        }
        assertThat(opinions.chance(SMALL, 20, MIDDLE)).isGreaterThan(0.9);
    }

    @Test
    void opinionsAtTheEndOfTheScaleTeachNothing() {
        final ConfidenceGains opinions = ConfidenceGains.empty();
        final double before = opinions.chance(SMALL, 20, MIDDLE);
        for (int i = 0; i < 200; i++) {
            opinions.observe(SMALL, 0, MIDDLE, 90);
            opinions.observe(SMALL, 60, MIDDLE, 100);
        }
        assertThat(opinions.chance(SMALL, 20, MIDDLE)).isEqualTo(before);
    }
}
