package org.fennelstage.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AcceptQueueMonitorTest {

    private final AcceptQueueMonitor monitor = new AcceptQueueMonitor(16);
    private final long secondAgo = System.nanoTime() - Duration.ofSeconds(1).toNanos();

    @Test
    void noConnectionWaitsAfterFewerThanTheMostWereAccepted() {
        monitor.onAccepted(16, secondAgo);
        monitor.onAccepted(15, secondAgo);
        assertThat(monitor.delay()).isZero();
    }

    @Test
    void connectionsWaitSinceTheMostWereFirstAccepted() {
        monitor.onAccepted(16, secondAgo);
        monitor.onAccepted(16, System.nanoTime());
        assertThat(monitor.delay()).isGreaterThanOrEqualTo(Duration.ofSeconds(1));
    }
}
