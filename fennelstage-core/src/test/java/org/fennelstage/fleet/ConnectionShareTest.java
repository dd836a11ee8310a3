package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConnectionShareTest {

    /**
     * Symptom: calls that may run once end with their outcome unknown. Events: 64 VMs keep 16
     * connections each at a worker that takes 440; the worker resets new ones. Cause: a VM kept
     * what suits one client, and the VMs add up.
     */
    @Test
    void manyVmsKeepFewConnectionsEachAndFewVmsKeepMany() {
        assertThat(new ConnectionShare(440, 64).maxIdleConnections()).isEqualTo(3);
        assertThat(new ConnectionShare(96, 6).maxIdleConnections()).isEqualTo(8);
        assertThat(new ConnectionShare(10_000, 6).maxIdleConnections())
                .isEqualTo(ConnectionShare.MOST);
        assertThat(new ConnectionShare(100, 300).maxIdleConnections()).isZero();
    }

    @Test
    void aVmThatKnowsNoOtherKeepsFew() {
        assertThat(new ConnectionShare(440, 0).maxIdleConnections()).isEqualTo(3);
    }

    @Property(tries = 500)
    void allVmsTogetherLeaveHalfOfTheConnectionsToCallsUnderWay(
            @ForAll @IntRange(min = 1, max = 5_000) final int accepted,
            @ForAll @IntRange(min = 1, max = 1_000) final int vms) {
        final int kept = vms * new ConnectionShare(accepted, vms).maxIdleConnections();
        assertThat(kept).isLessThanOrEqualTo(accepted / 2);
    }
}
