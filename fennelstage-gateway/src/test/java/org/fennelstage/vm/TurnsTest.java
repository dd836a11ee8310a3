package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class TurnsTest {

    private final AtomicLong now = new AtomicLong(1_000_000);

    private Turns<String> turns(final int before) {
        return new Turns<>(name -> before, 4, now::get);
    }

    @Test
    void theFirstInTurnActsAtOnceAndTheNextOneLater() {
        final Turns<String> first = turns(0);
        final Turns<String> second = turns(1);
        assertThat(first.isOwn("task", "task")).isTrue();
        assertThat(second.isOwn("task", "task")).isFalse();
        now.addAndGet(100);
        assertThat(second.isOwn("task", "task")).isTrue();
    }

    @Test
    void noVmWaitsForMoreThanTheMostTurns() {
        final Turns<String> last = turns(90);
        assertThat(last.isOwn("task", "task")).isFalse();
        now.addAndGet(400);
        assertThat(last.isOwn("task", "task")).isTrue();
    }

    @Test
    void aTaskThatWasForgottenWaitsForItsTurnAgain() {
        final Turns<String> second = turns(1);
        second.isOwn("task", "task");
        now.addAndGet(100);
        second.forget("task");
        assertThat(second.isOwn("task", "task")).isFalse();
    }
}
