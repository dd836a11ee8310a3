package org.fennelstage.canary;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ReportedVersionsTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ReportedVersions reported = ReportedVersions.of(now::get);

    @Test
    void aVersionIsContainedUntilItsLastReportExpires() {
        assertThat(reported.contains("v2")).isFalse();
        reported.onReported("v2");
        now.addAndGet(500);
        reported.onReported("v2");
        now.addAndGet(ReportedVersions.REPORT_LIFETIME_MILLIS - 1);
        assertThat(reported.contains("v2")).isTrue();
        now.addAndGet(1);
        assertThat(reported.contains("v2")).isFalse();
    }
}
