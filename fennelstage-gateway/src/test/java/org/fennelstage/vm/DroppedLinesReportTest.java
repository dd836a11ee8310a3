package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DroppedLinesReportTest {

    private final AtomicLong now = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final DroppedLinesReport report = new DroppedLinesReport(dropped::get, now::get);

    /** Guards against a log in which lines are missing without a trace. */
    @Test
    void droppedLinesAreReportedOnceASecondAtMost() {
        assertThat(report.writeDue()).isFalse();
        dropped.set(7);
        assertThat(report.writeDue()).isTrue();
        dropped.set(9);
        assertThat(report.writeDue()).isFalse();
        now.addAndGet(1_000);
        assertThat(report.writeDue()).isTrue();
        now.addAndGet(1_000);
        assertThat(report.writeDue()).isFalse();
    }
}
