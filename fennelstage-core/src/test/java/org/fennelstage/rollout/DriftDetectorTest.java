package org.fennelstage.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DriftDetectorTest {

    private final SplittableRandom random = new SplittableRandom(71);
    private final DriftDetector detector =
            DriftDetector.of(Tolerance.DEFAULT, DriftDetector.DEFAULT_ALPHA, Evidence.none());
    private Evidence totals = Evidence.none();

    /** A long good history must not outweigh a recent failure, as it does in SequentialTest. */
    @Test
    void updateDetectsFailureWithinTenRequestsAfterALongGoodHistory() {
        assertThat(observe(20_000, 0.01)).isEmpty();
        int requests = 0;
        while (observe(1, 1).isEmpty()) {
            requests++;
        }
        assertThat(requests).isLessThanOrEqualTo(10);
        assertThat(
                        SequentialTest.exceeds(
                                totals.judged(Signal.ERROR),
                                totals.bad(Signal.ERROR),
                                Tolerance.DEFAULT.errors(),
                                0.0025))
                .isFalse();
    }

    @Test
    void updateRaisesNoAlarmInAHundredThousandRequestsAtTheToleratedRate() {
        assertThat(observe(100_000, Tolerance.DEFAULT.errors())).isEmpty();
    }

    @Test
    void updateRaisesNoAlarmWhenTotalsDecrease() {
        observe(100, 0.01);
        assertThat(detector.update(Evidence.none())).isEmpty();
    }

    private Optional<Signal> observe(final int requests, final double errorRate) {
        for (int i = 0; i < requests; i++) {
            totals = totals.plus(Signal.ERROR, random.nextDouble() < errorRate);
            final Optional<Signal> badSignal = detector.update(totals);
            if (badSignal.isPresent()) {
                return badSignal;
            }
        }
        return Optional.empty();
    }
}
