package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class OutcomesTest {

    /** Whole numbers, whose sums are exact. */
    @Provide
    Arbitrary<Outcomes> outcomes() {
        final Arbitrary<Integer> responses = Arbitraries.integers().between(1, 1_000);
        return Combinators.combine(
                        Arbitraries.longs().between(0, 2),
                        responses,
                        Arbitraries.integers().between(-1_000, 1_000))
                .as(Outcomes::new);
    }

    @Property
    void plusIsAssociativeAndCommutative(
            @ForAll("outcomes") final Outcomes a,
            @ForAll("outcomes") final Outcomes b,
            @ForAll("outcomes") final Outcomes c) {
        assertThat(a.plus(b)).isEqualTo(b.plus(a));
        assertThat(a.plus(b).plus(c)).isEqualTo(a.plus(b.plus(c)));
        assertThat(a.plus(Outcomes.NONE)).isEqualTo(a);
    }

    @Property
    void minusRevertsPlusWithinAnIncarnation(
            @ForAll("outcomes") final Outcomes a, @ForAll("outcomes") final Outcomes b) {
        final Outcomes same = b.from(a.startMillis());
        assertThat(a.plus(same).minus(same)).isEqualTo(a);
    }

    @Property
    void onlyTheLaterIncarnationCounts(
            @ForAll("outcomes") final Outcomes a, @ForAll("outcomes") final Outcomes b) {
        final Outcomes later = b.from(a.startMillis() + 1);
        assertThat(a.plus(later)).isEqualTo(later);
        assertThat(later.minus(a)).isEqualTo(later);
        assertThat(a.minus(later)).isEqualTo(a);
    }

    @Test
    void outcomesMinusThemselvesAreNone() {
        final Outcomes some = new Outcomes(7, 3, 1);
        assertThat(some.minus(some)).isEqualTo(Outcomes.NONE);
    }

    @Property
    void limitedExcessKeepsItsRatio(@ForAll("outcomes") final Outcomes some) {
        final Outcomes limited = some.withExcessAtMost(2);
        assertThat(limited.excess()).isLessThanOrEqualTo(2 + 1e-9);
        assertThat(limited.excess() / limited.responses())
                .isCloseTo(some.excess() / some.responses(), within(1e-9));
    }

    @Test
    void failuresCountBeyondTheBaseline() {
        assertThat(Outcomes.of(true, 0.25)).isEqualTo(new Outcomes(0, 1, 0.75));
        assertThat(Outcomes.of(false, 0.25)).isEqualTo(new Outcomes(0, 1, -0.25));
    }
}
