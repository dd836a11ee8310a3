package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.id.BackendServerId;
import org.junit.jupiter.api.Test;

class RecentReportsTest {

    private static final long INTERVAL_MILLIS = 1_000;
    private static final Incarnation SERVER = new Incarnation(BackendServerId.of("i-7"), 12);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final RecentReports recent = new RecentReports(now::get, INTERVAL_MILLIS);

    @Test
    void aServerIsAddedAgainOnlyAfterTheInterval() {
        assertThat(recent.add(SERVER)).isTrue();
        now.addAndGet(INTERVAL_MILLIS - 1);
        assertThat(recent.add(SERVER)).isFalse();
        now.addAndGet(1);
        assertThat(recent.add(SERVER)).isTrue();
    }

    @Test
    void aRemovedServerIsAddedAgainAtOnce() {
        recent.add(SERVER);
        recent.remove(SERVER);
        assertThat(recent.add(SERVER)).isTrue();
    }

    @Test
    void incarnationsAreToldApart() {
        recent.add(SERVER);
        assertThat(recent.add(new Incarnation(SERVER.server(), 13))).isTrue();
    }
}
