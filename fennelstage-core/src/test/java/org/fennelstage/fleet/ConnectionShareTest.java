package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ConnectionShareTest {

    /** Guards against VMs whose idle connections together exceed what a backend server accepts. */
    @Test
    void idleConnectionsDecreaseWithTheNumberOfVms() {
        assertThat(new ConnectionShare(440, 64).maxIdleConnections()).isEqualTo(3);
        assertThat(new ConnectionShare(96, 6).maxIdleConnections()).isEqualTo(8);
        assertThat(new ConnectionShare(10_000, 6).maxIdleConnections())
                .isEqualTo(ConnectionShare.MAX_IDLE);
        assertThat(new ConnectionShare(100, 300).maxIdleConnections()).isZero();
    }

    @Test
    void vmWithUnknownPeersAssumesTheDefaultNumber() {
        assertThat(new ConnectionShare(440, 0).maxIdleConnections()).isEqualTo(3);
    }

    @Property(tries = 500)
    void idleConnectionsOfAllVmsStayWithinHalfOfTheAcceptedOnes(
            @ForAll @IntRange(min = 1, max = 5_000) final int accepted,
            @ForAll @IntRange(min = 1, max = 1_000) final int vms) {
        final int idle = vms * new ConnectionShare(accepted, vms).maxIdleConnections();
        assertThat(idle).isLessThanOrEqualTo(accepted / 2);
    }
}
