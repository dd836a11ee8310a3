package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ServerHealthTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Reachability dataCentre = Reachability.of(now::get);
    private final ServerHealth health = ServerHealth.of(now::get, dataCentre);

    /**
     * Symptom: four requests in ten fail at one worker whose health check is good. Cause: only the
     * health check was believed.
     */
    @Test
    void aServerThatFailsTwiceInARowIsUsedAfterTheOthers() {
        health.onEnd(true, 0);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SOUND);
        health.onEnd(true, 0);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
    }

    @Test
    void failuresThatTheRouteHasAnywayDoNotSpeakAgainstAServer() {
        for (int i = 0; i < 100; i++) {
            health.onEnd(i % 7 == 0, 1.0 / 7);
        }
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SOUND);
    }

    @Test
    void aMendedServerGetsTrafficAgain() {
        health.onEnd(true, 0);
        health.onEnd(true, 0);
        now.addAndGet(3_000);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SOUND);
    }

    @Test
    void aServerThatCannotBeReachedIsLeftOutForAPauseThatGrows() {
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

    /**
     * Symptom: for seconds after a data centre was cut off, requests wait for connections to one of
     * its workers after the other. Cause: what one worker showed did not speak against the others.
     */
    @Test
    void severalServersOutOfReachSpeakAgainstAllOfTheirDataCentreUntilOneAnswers() {
        final ServerHealth other = ServerHealth.of(now::get, dataCentre);
        final ServerHealth third = ServerHealth.of(now::get, dataCentre);
        health.onUnreachable();
        health.onUnreachable();
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.SOUND);
        other.onUnreachable();
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.UNREACHABLE);
        now.addAndGet(1_000);
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        third.onBytesReceived();
        assertThat(third.tier()).isEqualTo(ServerHealth.Tier.SOUND);
    }

    @Test
    void aByteFromAServerEndsItsPause() {
        health.onUnreachable();
        health.onBytesReceived();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SOUND);
    }

    /**
     * Symptom: while one worker is dark, one request of every VM waits for it in vain. Events: in a
     * large fleet a VM meets each worker once in many seconds. Cause: each VM found out by itself.
     */
    @Test
    void aWorkerThatAnotherVmCouldNotReachIsUsedAfterOthersForAWhile() {
        now.addAndGet(5_000);
        assertThat(health.onPeerReport(0.5)).isTrue();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        assertThat(health.probeDue()).isFalse();
        now.addAndGet(2_999);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        now.addAndGet(1);
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SOUND);
    }

    @Test
    void theWordOfAnotherVmCountsLessThanAByteFromTheWorker() {
        now.addAndGet(5_000);
        health.onBytesReceived();
        assertThat(health.onPeerReport(0)).isFalse();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SOUND);
        now.addAndGet(5_000);
        assertThat(health.onPeerReport(0)).isTrue();
        health.onBytesReceived();
        assertThat(health.tier()).isEqualTo(ServerHealth.Tier.SOUND);
    }

    /** A VM whose own way is cut must not speak against all workers. */
    @Test
    void aFailureIsWorthTellingOnlyWhileOtherWorkersOfTheDataCentreAreHeard() {
        final ServerHealth other = ServerHealth.of(now::get, dataCentre);
        assertThat(health.onUnreachable()).isFalse();
        other.onBytesReceived();
        assertThat(health.onUnreachable()).isTrue();
        now.addAndGet(1_001);
        assertThat(health.onUnreachable()).isFalse();
    }
}
