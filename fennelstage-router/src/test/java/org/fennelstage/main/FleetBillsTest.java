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

/** Bills of complete requests after crashes, outages of the store and lost responses. */
class FleetBillsTest {

    @Test
    void requestsAreBilledOnceWhileResponsesOfTheStoreAreLost() throws IOException {
        try (Fleet fleet = new Fleet(2, 3)) {
            fleet.injectStoreFaults(0, new ObjectApiFaults(false, 0, 0.6, 0));
            final Set<String> complete = new HashSet<>();
            // Several rounds, so that keepers write segments again whose responses were lost.
            for (int round = 0; round < 4; round++) {
                complete.addAll(run(fleet, 18, 6));
                Fleet.await(
                        "all bills to be stored",
                        () -> fleet.billedRequests().containsAll(complete));
            }
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against bills lost with the memory of a VM that crashes during an outage. */
    @Test
    void keeperWritesTheBillsOfACrashedVm() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.setStoreUnavailable(true);
            final Set<String> complete = run(fleet, 12, 1);
            assertThat(complete).hasSize(12);
            fleet.crash(0);
            fleet.setStoreUnavailable(false);

            Fleet.await(
                    "all bills to be stored", () -> fleet.billedRequests().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against bills lost when their keeper crashes during an outage. */
    @Test
    void billsOfACrashedKeeperAreSentToTheNextKeeper() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.setStoreUnavailable(true);
            final Set<String> complete = run(fleet, 12, 1);
            final int keeper = fleet.vm(1).bills().waiting() > 0 ? 1 : 2;
            assertThat(fleet.vm(keeper).bills().waiting()).isEqualTo(12);
            fleet.crash(keeper);
            fleet.setStoreUnavailable(false);

            Fleet.await(
                    "all bills to be stored", () -> fleet.billedRequests().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    @Test
    void singleVmWritesItsOwnBills() throws IOException {
        try (Fleet fleet = new Fleet(1, 1)) {
            final Set<String> complete = run(fleet, 3, 1);
            Fleet.await(
                    "all bills to be stored", () -> fleet.billedRequests().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against lost bills and cut responses if a VM stops gracefully during an outage. */
    @Test
    void gracefulStopCutsNoResponseAndLosesNoBillWhileTheStoreIsUnavailable() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.setStoreUnavailable(true);
            final var inFlight =
                    new java.util.ArrayList<
                            java.util.concurrent.CompletableFuture<Fleet.Response>>();
            for (int i = 0; i < 10; i++) {
                inFlight.add(fleet.chatAsync(0, "draft"));
            }
            Fleet.await("requests to run", () -> fleet.executions().size() == 10);
            fleet.vm(0).stop();

            final Set<String> complete = new HashSet<>();
            inFlight.forEach(
                    r -> {
                        assertThat(r.join().status()).isEqualTo(200);
                        complete.add(r.join().requestId());
                    });
            fleet.setStoreUnavailable(false);
            Fleet.await(
                    "all bills to be stored", () -> fleet.billedRequests().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against a keeper that stops while it holds the only copies of bills. */
    @Test
    void stoppingKeeperHandsOverTheBillsOfACrashedVm() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.setStoreUnavailable(true);
            final Set<String> complete = run(fleet, 12, 1);
            final int keeper = fleet.vm(1).bills().waiting() > 0 ? 1 : 2;
            fleet.crash(0);
            Fleet.await(
                    "the crash to be detected",
                    () -> fleet.vm(keeper).members().dutyVms().size() == 2);
            fleet.vm(keeper).stop();
            fleet.setStoreUnavailable(false);

            Fleet.await(
                    "all bills to be stored", () -> fleet.billedRequests().containsAll(complete));
            assertBilledOnce(fleet, complete);
        }
    }

    /** Guards against a graceful stop that cuts off a response in progress. */
    @Test
    void gracefulStopWaitsForALongResponse() throws IOException {
        final VersionBehaviour slow = new VersionBehaviour(Fleet.SMALL_V1, 0.9, 0, 0, 300, 1);
        try (Fleet fleet = new Fleet(1, 2, slow)) {
            final var response = fleet.chatAsync(0, "draft");
            Fleet.await("the request to run", () -> fleet.executions().size() == 1);
            fleet.vm(0).stop();
            assertThat(response.join().status()).isEqualTo(200);
            assertThat(response.join().body()).contains("token3");
        }
    }

    private static Set<String> run(final Fleet fleet, final int count, final int vmCount) {
        final Set<String> complete = new HashSet<>();
        for (int i = 0; i < count; i++) {
            final Fleet.Response response = fleet.chat(i % vmCount, "draft");
            assertThat(response.status()).isEqualTo(200);
            complete.add(response.requestId());
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
