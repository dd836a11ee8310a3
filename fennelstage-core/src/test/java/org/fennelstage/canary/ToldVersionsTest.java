package org.fennelstage.canary;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ToldVersionsTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ToldVersions told = ToldVersions.of(now::get);

    @Test
    void aVersionIsToldOfForAWhileAfterTheLastWord() {
        assertThat(told.contains("v2")).isFalse();
        told.onTold("v2");
        now.addAndGet(500);
        told.onTold("v2");
        now.addAndGet(ToldVersions.TOLD_MILLIS - 1);
        assertThat(told.contains("v2")).isTrue();
        now.addAndGet(1);
        assertThat(told.contains("v2")).isFalse();
    }
}
