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

/** Non-idempotent requests run at most once, and "not run" is reported only if it is true. */
class FleetClaimsTest {

    private static final String KEY_HEADER = "idempotency-key";

    /** Guards against double runs of a key that is sent to several VMs concurrently. */
    @Test
    void aKeySentToAllVmsAtOnceRunsOnce() throws IOException {
        try (Fleet fleet = new Fleet(3, 2)) {
            final List<CompletableFuture<Fleet.Answer>> answers = new ArrayList<>();
            for (int key = 0; key < 10; key++) {
                for (int node = 0; node < 6; node++) {
                    answers.add(fleet.chatLater(node, "send", KEY_HEADER, "race-" + key));
                }
            }
            answers.forEach(CompletableFuture::join);

            assertThat(Fleet.countByKey(fleet.executions())).hasSize(10);
            assertThat(Fleet.countByKey(fleet.executions()).values()).containsOnly(1L);
            assertThat(answers.stream().filter(a -> a.join().status() == 200)).hasSize(10);
            assertThat(answers.stream().map(a -> a.join().outcome()))
                    .containsOnly("complete", "outcome-unknown", "failed-after-run");
        }
    }

    /** Guards against treating a lost response of the object API as a failure or a success. */
    @Test
    void lostAnswersOfTheObjectApiNeitherDoubleARunNorMakeNotRunUntrue() throws IOException {
        try (Fleet fleet = new Fleet(2, 2)) {
            fleet.platform(0, new ObjectApiFaults(false, 0, 0.5, 0.3));
            fleet.platform(1, new ObjectApiFaults(false, 0, 0.5, 0.3));
            final Map<String, Fleet.Answer> byRequest = new HashMap<>();
            for (int key = 0; key < 30; key++) {
                final int first = key % 4;
                final CompletableFuture<Fleet.Answer> one =
                        fleet.chatLater(first, "send", KEY_HEADER, "lost-" + key);
                final CompletableFuture<Fleet.Answer> two =
                        fleet.chatLater((first + 1) % 4, "send", KEY_HEADER, "lost-" + key);
                byRequest.put(one.join().request(), one.join());
                byRequest.put(two.join().request(), two.join());
            }

            assertThat(Fleet.countByKey(fleet.executions()).values()).containsOnly(1L);
            for (final ModelEngine.Execution execution : fleet.executions()) {
                assertThat(byRequest.get(execution.request()).outcome())
                        .isNotEqualTo("refused-not-run");
            }
            assertThat(byRequest.values().stream().filter(a -> a.status() == 200).count())
                    .isEqualTo(fleet.executions().size());
        }
    }

    /** Guards against double runs in an outage, and keys that stay unusable after it. */
    @Test
    void withThePlatformDownARequestIsRejectedAsNotRunAndItsKeyWorksAfterwards()
            throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            fleet.platformDown(true);
            final Fleet.Answer refused = fleet.chat(0, "send", KEY_HEADER, "outage");
            assertThat(refused.outcome()).isEqualTo("refused-not-run");
            assertThat(refused.headers()).containsKey("retry-after");
            assertThat(fleet.executions()).isEmpty();

            fleet.platformDown(false);
            Fleet.await(
                    "the key to run",
                    () -> fleet.chat(1, "send", KEY_HEADER, "outage").status() == 200);
            assertThat(fleet.executions()).hasSize(1);
        }
    }

    /** Guards against a second run of a key after the VM that holds its claim crashes. */
    @Test
    void aClaimOutlivesItsHolder() throws IOException {
        try (Fleet fleet = new Fleet(1, 3)) {
            final CompletableFuture<Fleet.Answer> first =
                    fleet.chatLater(0, "send", KEY_HEADER, "death");
            Fleet.await("the run to begin", () -> fleet.executions().size() == 1);
            fleet.kill(0);
            first.join();

            final Fleet.Answer repeated = fleet.chat(1, "send", KEY_HEADER, "death");
            assertThat(repeated.outcome()).isIn("outcome-unknown", "failed-after-run");
            assertThat(fleet.executions()).hasSize(1);
        }
    }

    @Test
    void aNonIdempotentRequestWithoutAKeyIsRejected() throws IOException {
        try (Fleet fleet = new Fleet(1, 1)) {
            final Fleet.Answer answer = fleet.chat(0, "send");
            assertThat(answer.status()).isEqualTo(400);
            assertThat(answer.body()).contains("key_required");
        }
    }

    @Test
    void aServicePostWithAKeyRunsOnce() throws IOException {
        try (Fleet fleet = new Fleet(1, 2)) {
            for (int i = 0; i < 4; i++) {
                fleet.send(i % 2, "POST", "/services/klub/unsubscribe", "x", KEY_HEADER, "u-1")
                        .join();
            }
            assertThat(fleet.service().executions()).hasSize(1);
        }
    }
}
