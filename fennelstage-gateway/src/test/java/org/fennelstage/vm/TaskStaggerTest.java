package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class TaskStaggerTest {

    private final AtomicLong now = new AtomicLong(1_000_000);

    private TaskStagger<String> stagger(final int rank) {
        return new TaskStagger<>(name -> rank, 4, now::get);
    }

    @Test
    void firstRankActsAtOnceAndNextRankLater() {
        final TaskStagger<String> first = stagger(0);
        final TaskStagger<String> second = stagger(1);
        assertThat(first.mayAct("task", "task")).isTrue();
        assertThat(second.mayAct("task", "task")).isFalse();
        now.addAndGet(100);
        assertThat(second.mayAct("task", "task")).isTrue();
    }

    @Test
    void delayIsLimitedByMaxRank() {
        final TaskStagger<String> last = stagger(90);
        assertThat(last.mayAct("task", "task")).isFalse();
        now.addAndGet(400);
        assertThat(last.mayAct("task", "task")).isTrue();
    }

    @Test
    void clearedTaskIsDelayedAgain() {
        final TaskStagger<String> second = stagger(1);
        second.mayAct("task", "task");
        now.addAndGet(100);
        second.clear("task");
        assertThat(second.mayAct("task", "task")).isFalse();
    }
}
