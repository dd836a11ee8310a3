package org.fennelstage.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class InactivityTest {

    private static final long TIMEOUT_MILLIS = 5_000;

    @Test
    void aServerThatSendsBytesForOtherRequestsIsBusy() {
        assertThat(new Inactivity(9_000, 40, 40, 3).exceeds(TIMEOUT_MILLIS)).isFalse();
    }

    @Test
    void anAttemptTimesOutWhenAllRequestsAreInactive() {
        assertThat(new Inactivity(5_000, 5_000, 0, 0).exceeds(TIMEOUT_MILLIS)).isTrue();
        assertThat(new Inactivity(5_000, 4_999, 0, 0).exceeds(TIMEOUT_MILLIS)).isFalse();
    }

    /**
     * Guards against late detection of a cut-off data centre by requests that wait for the first
     * byte of a long prompt's response.
     */
    @Test
    void aCommonStallEndsAlsoAttemptsThatHaveNotTimedOut() {
        final Inactivity inactivity = new Inactivity(800, 700, Inactivity.COMMON_STALL_MILLIS, 2);
        assertThat(inactivity.exceeds(TIMEOUT_MILLIS)).isTrue();
    }

    @Test
    void aSingleStalledResponseEndsAfterItsOwnTimeoutOnly() {
        assertThat(
                        new Inactivity(800, 700, Inactivity.COMMON_STALL_MILLIS, 1)
                                .exceeds(TIMEOUT_MILLIS))
                .isFalse();
        assertThat(new Inactivity(1_200, 1_200, 1_200, 1).exceeds(1_200)).isTrue();
    }
}
