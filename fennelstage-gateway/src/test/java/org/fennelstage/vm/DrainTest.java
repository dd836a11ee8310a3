package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DrainTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Drain drain = Drain.of(now::get, Duration.ofSeconds(8));

    /**
     * Symptom: new connections are reset right after a VM was asked to stop. Cause: the process
     * ended before the balancer had noticed.
     */
    @Test
    void anIdleVmStaysUntilTheBalancerHasNoticed() {
        now.addAndGet(2_000);
        assertThat(drain.mayEnd(0)).isFalse();
        now.addAndGet(500);
        assertThat(drain.mayEnd(0)).isTrue();
    }

    /**
     * Symptom: a long answer is cut when its VM is stopped. Events: the VM is asked to stop, a
     * caller begins a long request on a kept connection four seconds later. Cause: kept connections
     * stayed open until the end.
     */
    @Test
    void keptConnectionsAreClosedOnceTheBalancerHasNoticed() {
        assertThat(drain.balancerKnows()).isFalse();
        now.addAndGet(2_500);
        assertThat(drain.balancerKnows()).isTrue();
    }

    @Test
    void requestsUnderWayKeepTheVmUntilShortlyBeforeTheEndOfItsGrace() {
        now.addAndGet(7_000);
        assertThat(drain.mayEnd(1)).isFalse();
        now.addAndGet(600);
        assertThat(drain.mayEnd(1)).isTrue();
    }
}
