package org.fennelstage.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PaceTest {

    private final Pace pace = new Pace();

    /**
     * Symptom: callers wait for as long as they can for a worker without power. Cause: only the
     * request's own deadline ended the wait.
     */
    @Test
    void aWorkerThatIsUsuallyFastIsGivenUpSoon() {
        for (int i = 0; i < 200; i++) {
            pace.onFirstByte(50, 500);
        }
        assertThat(pace.firstBytePatience(500)).isBetween(700L, 1_000L);
    }

    @Test
    void aLongPromptIsBorneLonger() {
        for (int i = 0; i < 200; i++) {
            pace.onFirstByte(50, 500);
        }
        assertThat(pace.firstBytePatience(50_000)).isGreaterThan(8_000L);
    }

    @Test
    void withinAnAnswerThePauseThatStillCountsAsInTimeIsBorne() {
        assertThat(pace.nextBytePatience(1_000)).isEqualTo(1_000);
        assertThat(pace.nextBytePatience(0)).isEqualTo(700);
    }

    /**
     * Symptom: callers with long prompts are refused for want of time by a VM that just started.
     * Cause: the first guess was taken for knowledge.
     */
    @Test
    void theTimeToReadIsKnownOnlyAfterSomeAnswers() {
        assertThat(pace.known()).isFalse();
        for (int i = 0; i < 10; i++) {
            pace.onFirstByte(50, 500);
        }
        assertThat(pace.known()).isTrue();
    }

    @Test
    void answersThatWaitedBehindOthersHardlyLengthenTheTimeToRead() {
        for (int i = 0; i < 300; i++) {
            pace.onFirstByte(i % 2 == 0 ? 50 : 2_000, 500);
        }
        assertThat(pace.readMillisPerToken()).isBetween(0.05, 0.4);
    }
}
