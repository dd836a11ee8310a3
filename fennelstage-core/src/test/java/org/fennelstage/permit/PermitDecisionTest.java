package org.fennelstage.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PermitDecisionTest {

    private static PermitDecision denied(final long untilRoomMillis) {
        return new PermitDecision(
                false, 8, 8, Duration.ofMillis(60), Duration.ofMillis(untilRoomMillis));
    }

    @Test
    void callersRejectedTogetherReturnAtDifferentMoments() {
        assertThat(denied(10).retryAfter(0)).isEqualTo(Duration.ofMillis(5));
        assertThat(denied(10).retryAfter(0.99)).isEqualTo(Duration.ofMillis(15));
    }

    @Test
    void noCallerReturnsAtOnce() {
        assertThat(denied(0).retryAfter(0)).isEqualTo(Duration.ofMillis(1));
    }
}
