package org.fennelstage.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ContainedTaskTest {

    /** Guards against periodic tasks that end without a word and a process that goes on. */
    @Test
    void aPeriodicTaskThatFailsRunsAgain() throws InterruptedException {
        final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        final CountDownLatch runs = new CountDownLatch(3);
        try {
            executor.scheduleWithFixedDelay(
                    ContainedTask.of("test", () -> fail(runs)), 1, 1, TimeUnit.MILLISECONDS);
            assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            executor.shutdownNow();
        }
    }

    private static void fail(final CountDownLatch runs) {
        runs.countDown();
        if (runs.getCount() == 2) {
            throw new IllegalStateException("unexpected");
        }
        throw new OutOfMemoryError("Java heap space");
    }
}
