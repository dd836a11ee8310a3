package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fennelstage.bill.Bill;
import org.fennelstage.id.RequestId;
import org.fennelstage.standin.ObjectApiFaults;
import org.fennelstage.standin.VersionBehaviour;
import org.junit.jupiter.api.Test;

/** Each complete request is billed once, despite crashes, outages and lost responses. */
class FleetBillsTest {

    @Test
    void everyCompleteAnswerIsBilledOnceWhileAnswersOfTheObjectApiAreLost() throws IOException {
        try (Fleet fleet = new Fleet(2, 3)) {
            fleet.platform(0, new ObjectApiFaults(false, 0, 0.6, 0));
            final Set<String> complete = new HashSet<>();
            // Several rounds, so that keepers overwrite segments whose write responses were lost.
            for (int round = 0; round < 4; round++) {
                complete.addAll(run(fleet, 18, 6));
                Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            }
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against bills lost with the memory of a crashed VM during an outage. */
    @Test
    void theBillsOfADeadVmAreWrittenByTheirKeeper() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.platformDown(true);
            final Set<String> complete = run(fleet, 12, 1);
            assertThat(complete).hasSize(12);
            fleet.kill(0);
            fleet.platformDown(false);

            Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against bills lost when their keeper crashes during an outage. */
    @Test
    void theBillsOfADeadKeeperAreSentToTheNext() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.platformDown(true);
            final Set<String> complete = run(fleet, 12, 1);
            final int keeper = fleet.node(1).bills().waiting() > 0 ? 1 : 2;
            assertThat(fleet.node(keeper).bills().waiting()).isEqualTo(12);
            fleet.kill(keeper);
            fleet.platformDown(false);

            Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    @Test
    void aSingleVmBillsByItself() throws IOException {
        try (Fleet fleet = new Fleet(1, 1)) {
            final Set<String> complete = run(fleet, 3, 1);
            Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against lost bills and cut responses in a graceful stop during an outage. */
    @Test
    void aGracefulStopCutsNoAnswerAndLosesNoBillWithThePlatformDown() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.platformDown(true);
            final var inFlight =
                    new java.util.ArrayList<java.util.concurrent.CompletableFuture<Fleet.Answer>>();
            for (int i = 0; i < 10; i++) {
                inFlight.add(fleet.chatLater(0, "draft"));
            }
            Fleet.await("requests to run", () -> fleet.executions().size() == 10);
            fleet.node(0).stop();

            final Set<String> complete = new HashSet<>();
            inFlight.forEach(
                    a -> {
                        assertThat(a.join().status()).isEqualTo(200);
                        complete.add(a.join().request());
                    });
            fleet.platformDown(false);
            Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against a keeper that stops with the only copies of bills. */
    @Test
    void aKeeperThatStopsHandsTheBillsOfADeadVmOn() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.platformDown(true);
            final Set<String> complete = run(fleet, 12, 1);
            final int keeper = fleet.node(1).bills().waiting() > 0 ? 1 : 2;
            fleet.kill(0);
            Fleet.await(
                    "the crash to be known",
                    () -> fleet.node(keeper).members().dutyVms().size() == 2);
            fleet.node(keeper).stop();
            fleet.platformDown(false);

            Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against a graceful stop that cuts a long response. */
    @Test
    void aGracefulStopWaitsForALongAnswer() throws IOException {
        final VersionBehaviour slow = new VersionBehaviour(Fleet.GOOD, 0.9, 0, 0, 300, 1);
        try (Fleet fleet = new Fleet(1, 2, slow)) {
            final var answer = fleet.chatLater(0, "draft");
            Fleet.await("the request to run", () -> fleet.executions().size() == 1);
            fleet.node(0).stop();
            assertThat(answer.join().status()).isEqualTo(200);
            assertThat(answer.join().body()).contains("token3");
        }
    }

    private static Set<String> run(final Fleet fleet, final int count, final int nodes) {
        final Set<String> complete = new HashSet<>();
        for (int i = 0; i < count; i++) {
            final Fleet.Answer answer = fleet.chat(i % nodes, "draft");
            assertThat(answer.status()).isEqualTo(200);
            complete.add(answer.request());
        }
        return complete;
    }

    private static void assertBilledOnce(final Fleet fleet, final Set<String> complete) {
        final Map<RequestId, Bill> bills = new java.util.HashMap<>();
        for (final Bill bill : fleet.bills()) {
            final Bill other = bills.putIfAbsent(bill.request(), bill);
            assertThat(other == null || other.equals(bill)).isTrue();
        }
        final Set<String> billed = new HashSet<>();
        bills.keySet().forEach(r -> billed.add(r.value()));
        assertThat(billed).isEqualTo(complete);
    }
}
