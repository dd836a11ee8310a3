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

    /**
     * Symptom: a version that served well for long turns bad, and nobody stops it. Cause: the long
     * good history outweighs the bad hour in a test of all evidence.
     */
    @Test
    void aVersionThatTurnsBadAfterALongGoodTimeIsFoundSoon() {
        assertThat(serve(20_000, 0.01)).isEmpty();
        int answers = 0;
        while (serve(1, 1).isEmpty()) {
            answers++;
        }
        assertThat(answers).isLessThanOrEqualTo(10);
        assertThat(
                        SequentialTest.exceeds(
                                totals.judged(Signal.ERROR),
                                totals.bad(Signal.ERROR),
                                Tolerance.DEFAULT.errors(),
                                0.0025))
                .isFalse();
    }

    @Test
    void aVersionAtTheToleratedRateRaisesNoAlarmInAHundredThousandAnswers() {
        assertThat(serve(100_000, Tolerance.DEFAULT.errors())).isEmpty();
    }

    @Test
    void totalsThatFallBackRaiseNoAlarm() {
        serve(100, 0.01);
        assertThat(detector.update(Evidence.none())).isEmpty();
    }

    private Optional<Signal> serve(final int answers, final double errors) {
        for (int i = 0; i < answers; i++) {
            totals = totals.plus(Signal.ERROR, random.nextDouble() < errors);
            final Optional<Signal> found = detector.update(totals);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }
}
