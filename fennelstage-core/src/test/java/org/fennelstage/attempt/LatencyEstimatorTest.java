package org.fennelstage.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LatencyEstimatorTest {

    private final LatencyEstimator estimator = new LatencyEstimator();

    /** Guards against attempts at a failed server that only the deadline of the request ends. */
    @Test
    void theFirstByteTimeoutIsShortForAFastServer() {
        for (int i = 0; i < 200; i++) {
            estimator.onFirstByte(50, 500);
        }
        assertThat(estimator.firstByteTimeoutMillis(500)).isBetween(700L, 1_000L);
    }

    @Test
    void theFirstByteTimeoutGrowsWithThePrompt() {
        for (int i = 0; i < 200; i++) {
            estimator.onFirstByte(50, 500);
        }
        assertThat(estimator.firstByteTimeoutMillis(50_000)).isGreaterThan(8_000L);
    }

    @Test
    void theNextByteTimeoutIsTheMaxPauseOrTheMinimum() {
        assertThat(estimator.nextByteTimeoutMillis(1_000)).isEqualTo(1_000);
        assertThat(estimator.nextByteTimeoutMillis(0)).isEqualTo(700);
    }

    /**
     * Guards against a VM that has just started and rejects long prompts by its initial estimate.
     */
    @Test
    void tenSamplesAreEnough() {
        assertThat(estimator.hasEnoughSamples()).isFalse();
        for (int i = 0; i < 10; i++) {
            estimator.onFirstByte(50, 500);
        }
        assertThat(estimator.hasEnoughSamples()).isTrue();
    }

    @Test
    void queuedResponsesHardlyIncreaseThePrefillEstimate() {
        for (int i = 0; i < 300; i++) {
            estimator.onFirstByte(i % 2 == 0 ? 50 : 2_000, 500);
        }
        assertThat(estimator.prefillMillisPerToken()).isBetween(0.05, 0.4);
    }

    /** Guards against a response time that grows with the queue and so counts the wait twice. */
    @Test
    void theTimeInTheQueueIsLeftOutOfTheResponseTime() {
        for (int i = 0; i < 300; i++) {
            estimator.onEnd(200, 4);
        }
        assertThat(estimator.responseMillis()).isBetween(39.0, 41.0);
    }

    /**
     * Guards against a sum that overflows: the usual time of a token becomes negative, and then
     * each backend server counts as silent at once.
     */
    @Test
    void anExtremeLengthOfAPromptMakesNoEstimateNegative() {
        for (int i = 0; i < 20; i++) {
            estimator.onFirstByte(60_000, Integer.MAX_VALUE);
        }
        assertThat(estimator.prefillMillisPerToken()).isPositive();
        assertThat(estimator.firstByteTimeoutMillis(500)).isPositive();
        assertThat(estimator.firstByteTimeoutMillis(Integer.MAX_VALUE))
                .isGreaterThanOrEqualTo(estimator.firstByteTimeoutMillis(500));
    }
}
