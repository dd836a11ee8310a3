package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Fleets that send short requests to a few backend servers, some of which fail. */
class FailingServerTest {

    private static final int SERVERS = 3;

    /** Time in which the VMs may find out; not counted. */
    private static final long FIRST_MILLIS = 1_000;

    private static final long END_MILLIS = 7_500;

    private static FailingServerSimulation failingAll(final int vms) {
        return new FailingServerSimulation(vms, SERVERS).failing(0, 1);
    }

    private static double shareOfFailingServer(final FailingServerSimulation fleet) {
        fleet.run(FIRST_MILLIS);
        return fleet.run(END_MILLIS - FIRST_MILLIS).get(0);
    }

    @Test
    void aSmallFleetSendsFewRequestsToAServerThatFailsAll() {
        assertThat(shareOfFailingServer(failingAll(7))).isLessThan(0.1);
    }

    /** Guards against evidence that has decayed before a VM with few requests can use it. */
    @Test
    void aLargeFleetSendsFewRequestsToAServerThatFailsAll() {
        assertThat(shareOfFailingServer(failingAll(90))).isLessThan(0.1);
    }

    /** Guards against a failing server that gets most requests because it never has any load. */
    @Test
    void aServerThatFailsAllAttractsNoRequestsWhileTheOthersAreBusy() {
        final FailingServerSimulation fleet = failingAll(90).busy(8, 400);
        assertThat(shareOfFailingServer(fleet)).isLessThan(0.1);
    }

    /** Guards against a server that keeps its share because it serves a request now and then. */
    @Test
    void aServerThatFailsManyRequestsGetsLessThanHalfOfItsShare() {
        final FailingServerSimulation fleet =
                new FailingServerSimulation(90, SERVERS).failing(0, 0.45);
        assertThat(shareOfFailingServer(fleet)).isLessThan(0.5 / SERVERS);
    }

    /**
     * Guards against a service that loses half of its requests while a data centre is evacuated.
     */
    @Test
    void theLastOtherServerGetsMostRequestsOfOneThatFailsAll() {
        final FailingServerSimulation fleet = new FailingServerSimulation(90, 2).failing(0, 1);
        assertThat(shareOfFailingServer(fleet)).isLessThan(0.1);
    }

    /** Guards against a server that gets no requests and so can never show that it recovered. */
    @Test
    void aServerThatFailsNoLongerGetsItsShareAgain() {
        final FailingServerSimulation fleet = failingAll(90);
        fleet.run(END_MILLIS);
        fleet.failing(0, 0).run(4_500);
        assertThat(fleet.run(500).get(0)).isGreaterThan(0.25);
    }

    /** Guards against a server excluded for long after a fault that was short. */
    @Test
    void aServerThatFailedForAMomentGetsItsShareAgain() {
        final FailingServerSimulation fleet = new FailingServerSimulation(90, SERVERS);
        fleet.run(FIRST_MILLIS);
        fleet.failing(0, 1).run(1_500);
        fleet.failing(0, 0).run(4_500);
        assertThat(fleet.run(500).get(0)).isGreaterThan(0.25);
    }

    /** Guards against sound servers excluded for requests that fail everywhere. */
    @Test
    void serversKeepTheirShareIfTheRouteFailsNowAndThen() {
        final FailingServerSimulation fleet =
                new FailingServerSimulation(90, SERVERS).usualFailureRate(0.14);
        fleet.run(FIRST_MILLIS);
        assertThat(fleet.run(20_000)).allSatisfy(share -> assertThat(share).isGreaterThan(0.25));
    }

    /** Guards against load that moves between servers that are all the same. */
    @Test
    void serversThatFailAlikeKeepTheirShare() {
        final FailingServerSimulation fleet =
                new FailingServerSimulation(90, SERVERS)
                        .failing(0, 0.45)
                        .failing(1, 0.45)
                        .failing(2, 0.45);
        fleet.run(FIRST_MILLIS);
        for (int second = 0; second < 20; second++) {
            assertThat(fleet.run(1_000))
                    .allSatisfy(share -> assertThat(share).isBetween(0.15, 0.6));
        }
    }

    @Test
    void serversThatAllFailKeepTheirShare() {
        final FailingServerSimulation fleet = failingAll(90).failing(1, 1).failing(2, 1);
        fleet.run(FIRST_MILLIS);
        assertThat(fleet.run(END_MILLIS))
                .allSatisfy(share -> assertThat(share).isGreaterThan(0.25));
    }
}
