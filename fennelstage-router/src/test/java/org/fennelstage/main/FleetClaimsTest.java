package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.standin.ModelEngine;
import org.fennelstage.standin.ObjectApiFaults;
import org.junit.jupiter.api.Test;

/** Non-idempotent requests run at most once; "not run" is reported only for requests never run. */
class FleetClaimsTest {

    private static final String KEY_HEADER = "idempotency-key";

    /** Guards against a key that runs twice if several VMs receive it concurrently. */
    @Test
    void keySentToAllVmsConcurrentlyRunsOnce() throws IOException {
        try (Fleet fleet = new Fleet(3, 2)) {
            final List<CompletableFuture<Fleet.Response>> responses = new ArrayList<>();
            for (int key = 0; key < 10; key++) {
                for (int vm = 0; vm < 6; vm++) {
                    responses.add(fleet.chatAsync(vm, "send", KEY_HEADER, "race-" + key));
                }
            }
            responses.forEach(CompletableFuture::join);

            assertThat(Fleet.countByKey(fleet.executions())).hasSize(10);
            assertThat(Fleet.countByKey(fleet.executions()).values()).containsOnly(1L);
            assertThat(responses.stream().filter(r -> r.join().status() == 200)).hasSize(10);
            assertThat(responses.stream().map(r -> r.join().outcome()))
                    .containsOnly("complete", "outcome-unknown", "failed-after-run");
        }
    }

    /** Guards against treating a lost response of the store as a failure or as a success. */
    @Test
    void lostStoreResponsesCauseNeitherASecondRunNorAWrongNotRunOutcome() throws IOException {
        try (Fleet fleet = new Fleet(2, 2)) {
            fleet.injectStoreFaults(0, new ObjectApiFaults(false, 0, 0.5, 0.3));
            fleet.injectStoreFaults(1, new ObjectApiFaults(false, 0, 0.5, 0.3));
            final Map<String, Fleet.Response> byRequest = new HashMap<>();
            for (int key = 0; key < 30; key++) {
                final int vm = key % 4;
                final CompletableFuture<Fleet.Response> first =
                        fleet.chatAsync(vm, "send", KEY_HEADER, "lost-" + key);
                final CompletableFuture<Fleet.Response> second =
                        fleet.chatAsync((vm + 1) % 4, "send", KEY_HEADER, "lost-" + key);
                byRequest.put(first.join().requestId(), first.join());
                byRequest.put(second.join().requestId(), second.join());
            }

            assertThat(Fleet.countByKey(fleet.executions()).values()).containsOnly(1L);
            for (final ModelEngine.Execution execution : fleet.executions()) {
                assertThat(byRequest.get(execution.request()).outcome())
                        .isNotEqualTo("refused-not-run");
            }
            assertThat(byRequest.values().stream().filter(r -> r.status() == 200).count())
                    .isEqualTo(fleet.executions().size());
        }
    }

    /** Guards against requests that run unclaimed in an outage, and keys unusable after it. */
    @Test
    void requestDuringAStoreOutageIsRejectedAsNotRunAndItsKeyWorksAfterwards() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.setStoreUnavailable(true);
            final Fleet.Response rejected = fleet.chat(0, "send", KEY_HEADER, "outage");
            assertThat(rejected.outcome()).isEqualTo("refused-not-run");
            assertThat(rejected.headers()).containsKey("retry-after");
            assertThat(fleet.executions()).isEmpty();

            fleet.setStoreUnavailable(false);
            Fleet.await(
                    "the key to run",
                    () -> fleet.chat(1, "send", KEY_HEADER, "outage").status() == 200);
            assertThat(fleet.executions()).hasSize(1);
        }
    }

    /** Guards against a second run of a key after the VM that holds its claim crashes. */
    @Test
    void claimSurvivesTheCrashOfItsHolder() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            final CompletableFuture<Fleet.Response> first =
                    fleet.chatAsync(0, "send", KEY_HEADER, "holder-crash");
            Fleet.await("the request to run", () -> fleet.executions().size() == 1);
            fleet.crash(0);
            first.join();

            final Fleet.Response repeated = fleet.chat(1, "send", KEY_HEADER, "holder-crash");
            assertThat(repeated.outcome()).isIn("outcome-unknown", "failed-after-run");
            assertThat(fleet.executions()).hasSize(1);
        }
    }

    @Test
    void nonIdempotentRequestWithoutAKeyIsRejected() throws IOException {
        try (Fleet fleet = new Fleet(1, 1)) {
            final Fleet.Response response = fleet.chat(0, "send");
            assertThat(response.status()).isEqualTo(400);
            assertThat(response.body()).contains("key_required");
        }
    }

    @Test
    void servicePostWithAKeyRunsOnce() throws IOException {
        try (Fleet fleet = new Fleet(1, 2)) {
            for (int i = 0; i < 4; i++) {
                fleet.sendAsync(i % 2, "POST", "/services/klub/unsubscribe", "x", KEY_HEADER, "u-1")
                        .join();
            }
            assertThat(fleet.service().executions()).hasSize(1);
        }
    }
}
