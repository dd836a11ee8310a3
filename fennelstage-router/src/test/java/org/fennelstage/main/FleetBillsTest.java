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

/** Each complete request is billed once, through deaths, outages and lost answers. */
class FleetBillsTest {

    @Test
    void everyCompleteAnswerIsBilledOnceWhileAnswersOfTheObjectApiAreLost() throws IOException {
        try (Fleet fleet = new Fleet(2, 3)) {
            fleet.platform(0, new ObjectApiFaults(false, 0, 0.6, 0));
            final Set<String> complete = new HashSet<>();
            // Several rounds, so that keepers write on top of segments whose answers were lost.
            for (int round = 0; round < 4; round++) {
                complete.addAll(run(fleet, 18, 6));
                Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            }
            assertBilledOnce(fleet, complete);
        }
    }

    /**
     * Symptom: an answer that was delivered is never billed. Events: the platform is down; a VM
     * answers callers and dies before its bills are written; the platform comes back. Cause: the
     * bill was in one memory only.
     */
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

    /**
     * Symptom: a bill is lost although its VM lives. Events: the platform is down; the keeper of
     * the bills dies; the platform comes back. Cause: nobody told the next keeper.
     */
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

    /**
     * Symptom: a stop loses bills or cuts an answer. Events: the platform is down while a VM with
     * requests in flight is told to stop.
     */
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

    /**
     * Symptom: bills are lost although every VM but one was stopped with care. Events: the platform
     * is down; a VM dies after its answers; the keeper of its bills is stopped. Cause: the keeper
     * had the only copies left and took them along.
     */
    @Test
    void aKeeperThatStopsHandsTheBillsOfADeadVmOn() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.platformDown(true);
            final Set<String> complete = run(fleet, 12, 1);
            final int keeper = fleet.node(1).bills().waiting() > 0 ? 1 : 2;
            fleet.kill(0);
            Fleet.await(
                    "the death to be known",
                    () -> fleet.node(keeper).members().dutyVms().size() == 2);
            fleet.node(keeper).stop();
            fleet.platformDown(false);

            Fleet.await("all bills", () -> fleet.billed().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /**
     * Symptom: a stop cuts long answers. Events: a VM is told to stop during an answer of a second
     * or more, with no bill to wait for.
     */
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
