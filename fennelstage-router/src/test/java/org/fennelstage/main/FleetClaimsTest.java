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

/** A non-idempotent request runs at most once, and "not run" is true, over many VMs and faults. */
class FleetClaimsTest {

    private static final String KEY_HEADER = "idempotency-key";

    /**
     * Symptom: a newsletter is sent twice. Events: the caller's first attempt times out, it sends
     * the same key to other VMs, in other data centres, while the first is still running. Cause:
     * each VM alone cannot know of the others' runs; the claim in the object API decides.
     */
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

    /**
     * Symptom: a send runs twice, or a caller is told "not run" of one that ran. Events: the object
     * API makes the claim but its answer is lost, so the writer does not know; the caller repeats.
     * Cause: taking a lost answer for a failure, or for a success.
     */
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

    /**
     * Symptom: during an outage of the platform sends run twice, or a caller that was told "not
     * run" can never send again. Events: the object API is down; the VM cannot claim and refuses;
     * the platform comes back and the caller repeats its key.
     */
    @Test
    void withThePlatformDownARequestIsRefusedAsNotRunAndItsKeyWorksAfterwards() throws IOException {
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

    /**
     * Symptom: a send runs twice after a VM died. Events: the VM that holds the claim dies while
     * its request runs; the caller repeats the key at another VM. Cause: nobody can tell whether it
     * ran, so the claim must outlive its holder.
     */
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
    void aNonIdempotentRequestWithoutAKeyIsRefused() throws IOException {
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
