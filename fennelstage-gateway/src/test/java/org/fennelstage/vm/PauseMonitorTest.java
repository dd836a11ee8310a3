package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class PauseMonitorTest {

    private final AtomicLong now = new AtomicLong();
    private final PauseMonitor pauses = PauseMonitor.of(now::get);

    @Test
    void tasksThatRunOnTimeShowNoPause() {
        for (int i = 0; i < 20; i++) {
            now.addAndGet(100);
            assertThat(pauses.onPeriod(0, 0)).isFalse();
        }
        assertThat(pauses.pausedSeconds()).isZero();
        assertThat(pauses.isLate(now.get())).isFalse();
    }

    /** Guards against judging others before what they sent during a pause is read. */
    @Test
    void tasksThatAreDueInAPauseAreLate() {
        final long dueMillis = now.get() + 100;
        now.addAndGet(2_000);
        assertThat(pauses.isLate(dueMillis)).isTrue();
        assertThat(pauses.onPeriod(3, 0)).isTrue();
        assertThat(pauses.pausedSeconds()).isEqualTo(1.75);
        now.addAndGet(100);
        assertThat(pauses.onPeriod(3, 0)).isFalse();
    }

    @Test
    void aSignalWithoutAPauseWasSentWhenItIsHandled() {
        runAfter(100);
        now.addAndGet(60);
        assertThat(pauses.earliestSignalMillis()).isEqualTo(160);
    }

    /** Guards against taking the end of a pause for the time at which a signal was sent. */
    @Test
    void aSignalThatIsHandledAfterAPauseMayHaveBeenSentInIt() {
        runAfter(100);
        now.addAndGet(5_000);
        assertThat(pauses.earliestSignalMillis()).isEqualTo(100);
        runAfter(10);
        runAfter(100);
        assertThat(pauses.earliestSignalMillis()).isEqualTo(100);
        runAfter(200);
        assertThat(pauses.earliestSignalMillis()).isEqualTo(5_410);
    }

    private void runAfter(final long millis) {
        now.addAndGet(millis);
        pauses.onPeriod(0, 0);
    }
}
