package org.fennelstage.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ListeningClockTest {

    private static final long MAX_TURN = 250;

    private final AtomicLong now = new AtomicLong(1_000);
    private final ListeningClock clock = ListeningClock.of(now::get, Duration.ofMillis(MAX_TURN));

    @Test
    void withoutPausesItReadsLikeTheClockBelow() {
        for (int i = 0; i < 10; i++) {
            now.addAndGet(MAX_TURN);
            assertThat(clock.onTurn()).isZero();
            assertThat(clock.millis()).isEqualTo(now.get());
        }
    }

    @Test
    void aPauseCountsNoMoreThanTheLongestTurn() {
        now.addAndGet(2_000);
        assertThat(clock.onTurn()).isEqualTo(Duration.ofMillis(2_000 - MAX_TURN));
        assertThat(clock.millis()).isEqualTo(1_000 + MAX_TURN);
        now.addAndGet(100);
        assertThat(clock.millis()).isEqualTo(1_100 + MAX_TURN);
    }

    /** Guards against reading the whole pause in the turn that ends it, before sockets are read. */
    @Test
    void aPauseIsLeftOutBeforeTheNextTurnIsRecorded() {
        now.addAndGet(60_000);
        assertThat(clock.millis()).isEqualTo(1_000 + MAX_TURN);
    }

    @Test
    void readingsNeverDecreaseAndNeverAdvanceByMoreThanTheClockBelow() {
        final Random random = new Random(1);
        long reading = clock.millis();
        for (int i = 0; i < 10_000; i++) {
            final long step = random.nextInt(random.nextInt(10) == 0 ? 3_000 : 200);
            now.addAndGet(step);
            assertThat(clock.millis()).isBetween(reading, reading + step);
            reading = clock.millis();
            if (random.nextBoolean()) {
                clock.onTurn();
                assertThat(clock.millis()).isEqualTo(reading);
            }
        }
        assertThat(clock.missed()).isPositive();
    }
}
