package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a queue so long that nearly every response is late. */
class SaturatedServerTest {

    private final SaturatedServerSimulation server = new SaturatedServerSimulation(7, false);

    @Test
    void asManyAreInTimeAsTheServerCompletesWhileMoreArrive() {
        server.simulate(now -> 1.2 * SaturatedServerSimulation.RATE);
        assertThat(server.shareInTime()).isGreaterThan(0.9 / 1.2);
        assertThat(server.shareServed()).isGreaterThan(0.95 / 1.2);
    }

    @Test
    void asManyAreInTimeAsTheServerCompletesInABurst() {
        server.simulate(now -> 1.8 * SaturatedServerSimulation.RATE);
        assertThat(server.shareInTime()).isGreaterThan(0.9 / 1.8);
    }

    /** Guards against an overload that continues after the burst that caused it. */
    @Test
    void requestsAreInTimeAgainSoonAfterABurst() {
        server.countedFromMillis = 10_000;
        server.simulate(
                now ->
                        now >= 5_000 && now < 8_000
                                ? 2 * SaturatedServerSimulation.RATE
                                : 0.9 * SaturatedServerSimulation.RATE);
        assertThat(server.shareInTime()).isGreaterThan(0.9);
    }

    /** Guards against slots that go to callers who return too late to be in time. */
    @Test
    void callersThatReturnAfterARejectionAreInTimeToo() {
        server.vmDelayMillis = 10;
        server.callerDelayMillis = 15;
        server.simulate(now -> 1.8 * SaturatedServerSimulation.RATE);
        assertThat(server.shareInTime()).isGreaterThan(0.9 / 1.8);
    }

    /** Guards against permits that count the time at the VMs as time in a slot. */
    @Test
    void allAreServedWithinTheRateOfTheServerByVmsThatHandleMessagesLate() {
        server.vmDelayMillis = 40;
        server.simulate(now -> 0.7 * SaturatedServerSimulation.RATE);
        assertThat(server.shareServed()).isGreaterThan(0.95);
        assertThat(server.shareInTime()).isGreaterThan(0.9);
    }

    /** Guards against permits that lost responses keep although their slots are free. */
    @Test
    void lostResponsesDelayNoOtherRequest() {
        server.lostShare = 0.3;
        server.simulate(now -> 0.9 * SaturatedServerSimulation.RATE);
        assertThat(server.shareInTime()).isGreaterThan(0.9 * (1 - server.lostShare));
    }
}
