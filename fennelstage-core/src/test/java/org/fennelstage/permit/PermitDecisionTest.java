package org.fennelstage.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PermitDecisionTest {

    private static PermitDecision denied(final long slotMillis) {
        return new PermitDecision(false, 8, 8, Duration.ofMillis(slotMillis));
    }

    @Test
    void callersReturnWhenTheNextSlotIsLikelyFree() {
        assertThat(denied(60).retryAfter(6, 0.5)).isEqualTo(Duration.ofMillis(10));
    }

    @Test
    void callersRejectedTogetherReturnAtDifferentMoments() {
        assertThat(denied(60).retryAfter(6, 0)).isEqualTo(Duration.ofMillis(5));
        assertThat(denied(60).retryAfter(6, 0.99)).isEqualTo(Duration.ofMillis(15));
    }

    @Test
    void noCallerReturnsAtOnce() {
        assertThat(denied(1).retryAfter(100, 0)).isEqualTo(Duration.ofMillis(1));
    }
}
