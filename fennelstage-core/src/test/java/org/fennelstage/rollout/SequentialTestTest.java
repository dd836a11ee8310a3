package org.fennelstage.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SequentialTestTest {

    private static final double ALPHA = 0.0025;

    @Test
    void logEvidenceIsZeroWithoutJudgedRequests() {
        assertThat(SequentialTest.logEvidence(0, 0, 0.02)).isZero();
    }

    @Test
    void exceedsDetectsAFailingVersionWithinFourRequests() {
        int judged = 1;
        while (!SequentialTest.exceeds(judged, judged, 0.02, ALPHA)) {
            judged++;
        }
        assertThat(judged).isLessThanOrEqualTo(4);
    }

    /** Guards against false positives from evaluating the test after every request. */
    @Test
    void exceedsRarelyGivesAFalsePositiveWhenEvaluatedAfterEveryRequest() {
        final SplittableRandom random = new SplittableRandom(31);
        int halted = 0;
        for (int run = 0; run < 1000; run++) {
            halted += isEverHalted(random, 0.02, 0.02, 2000) ? 1 : 0;
        }
        assertThat(halted).isLessThanOrEqualTo(10);
    }

    @Test
    void exceedsDetectsAWorseRateEventually() {
        final SplittableRandom random = new SplittableRandom(32);
        int halted = 0;
        for (int run = 0; run < 100; run++) {
            halted += isEverHalted(random, 0.08, 0.02, 5000) ? 1 : 0;
        }
        assertThat(halted).isGreaterThanOrEqualTo(98);
    }

    private static boolean isEverHalted(
            final SplittableRandom random,
            final double rate,
            final double tolerated,
            final int requests) {
        int bad = 0;
        for (int judged = 1; judged <= requests; judged++) {
            bad += random.nextDouble() < rate ? 1 : 0;
            if (SequentialTest.exceeds(judged, bad, tolerated, ALPHA)) {
                return true;
            }
        }
        return false;
    }
}
