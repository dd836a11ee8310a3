package org.fennelstage.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TokenBucketTest {

    private Instant now = Instant.ofEpochMilli(0);
    private final InstantSource clock = () -> now;

    @Test
    void tryTakeAllowsTheBurstAndThenReturnsTheTimeToWait() {
        final TokenBucket bucket = TokenBucket.of(clock, 2, 3);
        for (int i = 0; i < 3; i++) {
            assertThat(bucket.tryTake()).isEmpty();
        }
        final Optional<Duration> wait = bucket.tryTake();
        assertThat(wait).contains(Duration.ofMillis(500));
        now = now.plus(wait.get());
        assertThat(bucket.tryTake()).isEmpty();
    }

    @Test
    void resizeToASmallerBurstDiscardsTheExcess() {
        final TokenBucket bucket = TokenBucket.of(clock, 1, 100);
        bucket.resize(1, 1);
        assertThat(bucket.tryTake()).isEmpty();
        assertThat(bucket.tryTake()).isPresent();
    }

    /** A clock that steps back must neither add tokens nor block permanently. */
    @Test
    void refillAddsNothingWhenTheClockStepsBack() {
        final TokenBucket bucket = TokenBucket.of(clock, 1, 1);
        bucket.tryTake();
        now = now.minusSeconds(3600);
        assertThat(bucket.tryTake()).isPresent();
        now = now.plusSeconds(1);
        assertThat(bucket.tryTake()).isEmpty();
    }
}
