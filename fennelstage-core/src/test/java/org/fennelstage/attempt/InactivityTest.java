package org.fennelstage.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class InactivityTest {

    private static final long PATIENCE = 5_000;

    @Test
    void aWorkerThatGivesOthersTheirBytesIsOnlyBusy() {
        assertThat(new Inactivity(9_000, 40, 40, 3).exceeds(PATIENCE)).isFalse();
    }

    @Test
    void aWorkerThatIsSilentToAllForAsLongAsSuchAnAnswerTakesIsGivenUp() {
        assertThat(new Inactivity(5_000, 5_000, 0, 0).exceeds(PATIENCE)).isTrue();
        assertThat(new Inactivity(5_000, 4_999, 0, 0).exceeds(PATIENCE)).isFalse();
    }

    /**
     * Symptom: while a data centre is cut off, streams and long prompts there are noticed seconds
     * after the cut. Events: several answers of a worker have begun, all of them stop at once; a
     * request with a long prompt waits beside them. Cause: each request waited for as long as its
     * own prompt may take.
     */
    @Test
    void answersThatStopTogetherSpeakAgainstTheirWorkerForAllThatWaitThere() {
        final Inactivity waiting = new Inactivity(800, 700, Inactivity.TOGETHER_MILLIS, 2);
        assertThat(waiting.exceeds(PATIENCE)).isTrue();
    }

    @Test
    void aSingleAnswerThatStandsStillSpeaksOnlyForItself() {
        assertThat(new Inactivity(800, 700, Inactivity.TOGETHER_MILLIS, 1).exceeds(PATIENCE))
                .isFalse();
        assertThat(new Inactivity(1_200, 1_200, 1_200, 1).exceeds(1_200)).isTrue();
    }
}
