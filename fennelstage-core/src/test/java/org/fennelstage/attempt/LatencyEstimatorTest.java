package org.fennelstage.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LatencyEstimatorTest {

    private final LatencyEstimator pace = new LatencyEstimator();

    /**
     * Symptom: callers wait for as long as they can for a worker without power. Cause: only the
     * request's own deadline ended the wait.
     */
    @Test
    void aWorkerThatIsUsuallyFastIsGivenUpSoon() {
        for (int i = 0; i < 200; i++) {
            pace.onFirstByte(50, 500);
        }
        assertThat(pace.firstByteTimeoutMillis(500)).isBetween(700L, 1_000L);
    }

    @Test
    void aLongPromptIsBorneLonger() {
        for (int i = 0; i < 200; i++) {
            pace.onFirstByte(50, 500);
        }
        assertThat(pace.firstByteTimeoutMillis(50_000)).isGreaterThan(8_000L);
    }

    @Test
    void withinAnAnswerThePauseThatStillCountsAsInTimeIsBorne() {
        assertThat(pace.nextByteTimeoutMillis(1_000)).isEqualTo(1_000);
        assertThat(pace.nextByteTimeoutMillis(0)).isEqualTo(700);
    }

    /**
     * Symptom: callers with long prompts are refused for want of time by a VM that just started.
     * Cause: the first guess was taken for knowledge.
     */
    @Test
    void theTimeToReadIsKnownOnlyAfterSomeAnswers() {
        assertThat(pace.hasEnoughSamples()).isFalse();
        for (int i = 0; i < 10; i++) {
            pace.onFirstByte(50, 500);
        }
        assertThat(pace.hasEnoughSamples()).isTrue();
    }

    @Test
    void answersThatWaitedBehindOthersHardlyLengthenTheTimeToRead() {
        for (int i = 0; i < 300; i++) {
            pace.onFirstByte(i % 2 == 0 ? 50 : 2_000, 500);
        }
        assertThat(pace.prefillMillisPerToken()).isBetween(0.05, 0.4);
    }
}
