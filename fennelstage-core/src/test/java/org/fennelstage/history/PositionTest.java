package org.fennelstage.history;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class PositionTest {

    @Test
    void positionOfALaterEraIsAfterAHigherRevisionOfAnEarlierEra() {
        assertThat(Position.of(2, 70).isAfter(Position.of(1, 100))).isTrue();
        assertThat(Position.of(1, 100).isOfFormerEra(Position.of(2, 70))).isTrue();
        assertThat(Position.of(2, 70)).hasToString("2/70");
    }

    @Test
    void reachesOnlyPositionsOfTheSameEra() {
        assertThat(Position.of(2, 70).reaches(Position.of(1, 60))).isFalse();
        assertThat(Position.of(2, 70).reaches(Position.of(3, 60))).isFalse();
        assertThat(Position.of(2, 70).reaches(Position.of(2, 70))).isTrue();
        assertThat(Position.of(2, 70).reaches(Position.of(2, 71))).isFalse();
    }

    @Property(tries = 300)
    void positionsAreTotallyOrdered(
            @ForAll @LongRange(min = 0, max = 3) final long era,
            @ForAll @LongRange(min = 0, max = 3) final long otherEra,
            @ForAll @LongRange(min = 0, max = 5) final long revision,
            @ForAll @LongRange(min = 0, max = 5) final long otherRevision) {
        final Position one = Position.of(era, revision);
        final Position other = Position.of(otherEra, otherRevision);
        assertThat(one.isAfter(other) ^ other.isAfter(one) ^ one.equals(other)).isTrue();
        assertThat(one.isAfter(Position.NONE)).isTrue();
        assertThat(one.reaches(other) && other.isAfter(one)).isFalse();
    }
}
