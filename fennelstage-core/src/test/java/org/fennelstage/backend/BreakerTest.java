package org.fennelstage.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.time.InstantSource;
import org.junit.jupiter.api.Test;

class BreakerTest {

    private Instant now = Instant.ofEpochMilli(0);
    private final InstantSource clock = () -> now;
    private final Breaker breaker = Breaker.of(clock);

    @Test
    void oneFailureDoesNotOpenTheBreaker() {
        assertThat(breaker.onFailure()).isFalse();
        assertThat(breaker.allowsRequest()).isTrue();
    }

    @Test
    void twoConsecutiveFailuresOpenTheBreakerAndASuccessClosesIt() {
        breaker.onFailure();
        assertThat(breaker.onFailure()).isTrue();
        assertThat(breaker.allowsRequest()).isFalse();
        assertThat(breaker.onSuccess()).isTrue();
        assertThat(breaker.allowsRequest()).isTrue();
    }

    /** Guards against many waiting requests that probe a failed server at the same time. */
    @Test
    void afterThePauseOnlyOneRequestProbesTheServer() {
        breaker.onFailure();
        breaker.onFailure();
        now = now.plusSeconds(3);
        assertThat(breaker.allowsRequest()).isTrue();
        breaker.onAttempt();
        assertThat(breaker.allowsRequest()).isFalse();
    }
}
