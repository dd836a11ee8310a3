package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RateLimitTest {

    private static final Duration WINDOW = Duration.ofSeconds(4);

    @Test
    void requestsInAWindowAreRoundedDown() {
        assertThat(new RateLimit(3.1).requestsIn(WINDOW)).isEqualTo(12);
    }

    /** Guards against a limit that no VM finds to have ended, since none may send a request. */
    @Test
    void lowestLimitAllowsOneRequest() {
        assertThat(new RateLimit(0).requestsIn(WINDOW)).isEqualTo(1);
    }

    @Test
    void negativeOrInfiniteRatesAreNoLimit() {
        assertThat(RateLimit.of(-1)).isEmpty();
        assertThat(RateLimit.of(Double.NaN)).isEmpty();
        assertThat(RateLimit.of(Double.POSITIVE_INFINITY)).isEmpty();
        assertThatThrownBy(() -> new RateLimit(-1)).isInstanceOf(IllegalArgumentException.class);
    }
}
