package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PaceTest {

    private static final Pace SLOW = new Pace(12, 2, 1.4);

    @Test
    void aSumLessAPartIsTheRest() {
        assertThat(SLOW.plus(new Pace(12, 1, 0.5)).minus(SLOW).samples()).isEqualTo(1);
        assertThat(SLOW.minus(SLOW)).isEqualTo(Pace.NONE);
        assertThat(SLOW.plus(Pace.NONE)).isEqualTo(SLOW);
    }

    /** Guards against a restarted server that counts as slow for what its predecessor was. */
    @Test
    void onlyTheLaterIncarnationCounts() {
        final Pace later = new Pace(13, 1, 0);
        assertThat(SLOW.plus(later)).isEqualTo(later);
        assertThat(later.plus(SLOW)).isEqualTo(later);
        assertThat(later.minus(SLOW)).isEqualTo(later);
    }

    @Test
    void limitedWeightKeepsTheMean() {
        final Pace limited = new Pace(12, 8, 4).withSamplesAtMost(Pace.MAX_REPORTED_SAMPLES);
        assertThat(limited).isEqualTo(new Pace(12, 4, 2));
    }
}
