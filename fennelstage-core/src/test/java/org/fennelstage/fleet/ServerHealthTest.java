package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ServerHealthTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Reachability dataCentre = Reachability.of(now::get);
    private final ServerHealth health = ServerHealth.of(now::get, dataCentre);

    /** Guards against using a server that fails requests while its health check passes. */
    @Test
    void twoConsecutiveFailuresMakeAServerSuspect() {
        health.onEnd(true, 0);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        health.onEnd(true, 0);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
    }

    @Test
    void failuresAtTheBaselineRateDoNotMakeAServerSuspect() {
        for (int i = 0; i < 100; i++) {
            health.onEnd(i % 7 == 0, 1.0 / 7);
        }
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    @Test
    void suspectServerRecoversAfterItsFailureRateDecays() {
        health.onEnd(true, 0);
        health.onEnd(true, 0);
        now.addAndGet(3_000);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    @Test
    void unreachableServerIsExcludedForAGrowingPause() {
        health.onUnreachable();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.UNREACHABLE);
        assertThat(health.probeDue()).isFalse();
        now.addAndGet(500);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        assertThat(health.probeDue()).isTrue();
        health.onUnreachable();
        now.addAndGet(500);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.UNREACHABLE);
        now.addAndGet(500);
        assertThat(health.probeDue()).isTrue();
        health.onProbe();
        assertThat(health.probeDue()).isFalse();
    }

    /** Guards against connection attempts to each server of a data centre that is cut off. */
    @Test
    void severalUnreachableServersMarkTheDataCentreUntilOneResponds() {
        final ServerHealth other = ServerHealth.of(now::get, dataCentre);
        final ServerHealth third = ServerHealth.of(now::get, dataCentre);
        health.onUnreachable();
        health.onUnreachable();
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        other.onUnreachable();
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.UNREACHABLE);
        now.addAndGet(1_000);
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        third.onBytesReceived();
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    @Test
    void receivedBytesEndThePause() {
        health.onUnreachable();
        health.onBytesReceived();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    /** Guards against every VM losing a request to the same unreachable server. */
    @Test
    void serverReportedByAPeerIsSuspectForAWhile() {
        now.addAndGet(5_000);
        assertThat(health.onPeerReport(0.5)).isTrue();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        assertThat(health.probeDue()).isFalse();
        now.addAndGet(2_999);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        now.addAndGet(1);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    @Test
    void recentlyReceivedBytesOverrideAPeerReport() {
        now.addAndGet(5_000);
        health.onBytesReceived();
        assertThat(health.onPeerReport(0)).isFalse();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        now.addAndGet(5_000);
        assertThat(health.onPeerReport(0)).isTrue();
        health.onBytesReceived();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    /** Guards against reports from a VM whose own network path is broken. */
    @Test
    void failureIsReportedOnlyIfOtherServersOfTheDataCentreRespond() {
        final ServerHealth other = ServerHealth.of(now::get, dataCentre);
        assertThat(health.onUnreachable()).isFalse();
        other.onBytesReceived();
        assertThat(health.onUnreachable()).isTrue();
        now.addAndGet(1_001);
        assertThat(health.onUnreachable()).isFalse();
    }

    /** Guards against a server that gets no requests for ever after one failed to connect. */
    @Test
    void acceptedConnectionEndsTheExclusionOfAnUnreachableServer() {
        health.onUnreachable();
        now.addAndGet(500);
        health.onProbe();
        health.onConnected();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        assertThat(health.probeDue()).isFalse();
    }

    @Test
    void acceptedConnectionShowsThatTheDataCentreIsReachable() {
        final ServerHealth other = ServerHealth.of(now::get, dataCentre);
        for (int i = 0; i < 3; i++) {
            health.onUnreachable();
        }
        assertThat(other.tier()).isEqualTo(ServerHealth.Tier.UNREACHABLE);
        health.onConnected();
        assertThat(other.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    /** Guards against sending requests to a server that accepts connections and hangs. */
    @Test
    void inactiveServerStaysSuspectForAWhileAlthoughItAcceptsConnections() {
        health.onInactive(0.5);
        now.addAndGet(500);
        assertThat(health.probeDue()).isTrue();
        health.onProbe();
        health.onConnected();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        now.addAndGet(2_499);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        now.addAndGet(1);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    @Test
    void receivedBytesEndTheSuspicionOfAnInactiveServer() {
        health.onInactive(0.5);
        health.onBytesReceived();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }
}
