package org.fennelstage.canary;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

class CanaryTest {

    private static final Duration DURATION = Duration.ofSeconds(24);
    private static final double SHARE = 0.15;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final Canary canary = Canary.of(now::get, SHARE);

    private static RolloutOrder order(final RolloutPhase phase, final long revision) {
        return new RolloutOrder(
                ServiceName.of("models"),
                "v2",
                DURATION,
                phase,
                Optional.empty(),
                Position.of(0, revision));
    }

    private static BackendServerId worker(final int number) {
        return BackendServerId.of("i-" + number % 5);
    }

    private boolean toNew(final String session) {
        return toNew(canary, session);
    }

    private static boolean toNew(final Canary vm, final String session) {
        return vm.choose(Optional.of(session), "r1").toNew();
    }

    private void begin() {
        canary.onVersionWithoutOrder("v1");
        canary.onOrder(order(RolloutPhase.ORDERED, 1), Duration.ZERO);
    }

    @Test
    void aVersionThatMayBelongToAnUnknownOrderGetsNothing() {
        canary.onVersionWithoutOrder("v1");
        assertThat(canary.admits("v1", false)).isTrue();
        assertThat(canary.admits("v2", false)).isFalse();
    }

    /**
     * Symptom: a bad version gets more than its share of a service's requests. Cause: the share was
     * kept at each moment but not over the whole time with the move at the end.
     */
    @Test
    void overTheWholeTimeTheNewVersionGetsLessThanTheAllowedShare() {
        begin();
        int moved = 0;
        final int requests = 24_000;
        for (int i = 0; i < requests; i++) {
            now.set(1_000_000 + i * DURATION.toMillis() / requests);
            moved += toNew("session-" + i) ? 1 : 0;
        }
        assertThat(moved / (double) requests).isBetween(0.1, SHARE);
    }

    /**
     * Symptom: a good version is not completed in time. Cause: the completion waited for evidence
     * that a quiet VM never has.
     */
    @Test
    void withoutBadAnswersTheVersionIsCompletedBeforeItsTimeIsOver() {
        begin();
        now.addAndGet(DURATION.toMillis() - 300);
        assertThat(toNew("any")).isTrue();
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.COMPLETED);
    }

    @Test
    void twoFailuresInARowAtTwoWorkersEndTheRolloutHereAtOnce() {
        begin();
        for (int i = 0; i < 2; i++) {
            canary.onResponse(worker(i), "v2", true, 0);
        }
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.ROLLED_BACK);
        now.addAndGet(DURATION.toMillis());
        assertThat(toNew("any")).isFalse();
    }

    /**
     * Symptom: a version that turns bad late is completed. Cause: many good answers given before
     * outweighed the bad ones.
     */
    @Test
    void goodAnswersGivenEarlyDoNotHideAVersionThatTurnsBad() {
        begin();
        for (int i = 0; i < 500; i++) {
            canary.onResponse(worker(i), "v2", false, 0);
        }
        for (int i = 0; i < 4; i++) {
            canary.onResponse(worker(i), "v2", true, 0);
        }
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.ROLLED_BACK);
    }

    @Test
    void aVersionEightTimesSlowerThanTheOldOneIsBad() {
        begin();
        for (int i = 0; i < 20; i++) {
            canary.onResponse(worker(i), "v1", false, 50);
        }
        for (int i = 0; i < 3; i++) {
            canary.onResponse(worker(i), "v2", false, 400);
        }
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.ROLLED_BACK);
    }

    /**
     * Symptom: a good version is rolled back. Events: one of its workers breaks and fails every
     * request. Cause: a worker's failures taken for its version's.
     */
    @Test
    void failuresOfOneWorkerAloneDoNotEndTheRollout() {
        begin();
        for (int i = 0; i < 20; i++) {
            canary.onResponse(worker(1), "v2", true, 0);
        }
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.IN_PROGRESS);
    }

    @Test
    void failuresThatTheOldVersionHasAsOftenDoNotEndTheRollout() {
        begin();
        for (int i = 0; i < 400; i++) {
            canary.onResponse(worker(i), "v1", i % 7 == 0, 0);
            canary.onResponse(worker(i), "v2", i % 7 == 0, 0);
        }
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.IN_PROGRESS);
    }

    /**
     * Symptom: requests of one session run on two versions. Events: the session ran on the old
     * version, the order comes, its key falls into the new version's share. Cause: the key alone
     * decided from the order on, and what a VM remembered of the session was lost with the VM, or
     * known to no other.
     */
    @Test
    void aSessionThatRanOnTheOldVersionStaysThereThroughTheFirstHalfAtEveryVm() {
        begin();
        final Canary neverAsked = Canary.of(now::get, SHARE);
        neverAsked.onOrder(order(RolloutPhase.IN_PROGRESS, 1), Duration.ZERO);
        for (int i = 0; i < 1_000; i++) {
            now.set(1_000_000 + i * DURATION.toMillis() / 2_000);
            assertThat(toNew("session-" + i)).isFalse();
            assertThat(toNew(neverAsked, "session-" + i)).isFalse();
        }
    }

    /**
     * Symptom: a session changes its version to and fro. Events: its requests come through VMs that
     * heard of the order at different times, and through VMs that start in the middle. Cause: VMs
     * chose by what each had seen of the session. What may remain are requests closer together than
     * the VMs' views of the time, 200 ms here.
     */
    @Test
    void overAWholeRolloutASessionChangesItsVersionOnceAndNeverBack() {
        final long step = 200;
        final Random random = new Random(7);
        final List<Canary> vms = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            vms.add(startVm(random.nextInt((int) step)));
        }
        final Set<String> moved = new HashSet<>();
        for (long at = step; at < DURATION.toMillis(); at += step) {
            now.set(1_000_000 + at);
            vms.set(random.nextInt(vms.size()), startVm(at - random.nextInt((int) step)));
            for (int i = 0; i < 300; i++) {
                final String session = "session-" + i;
                final boolean isNew = toNew(vms.get(random.nextInt(vms.size())), session);
                if (at > DURATION.toMillis() / 2 + step) {
                    assertThat(isNew || !settled(moved, session, at, step)).isTrue();
                } else {
                    assertThat(isNew).isFalse();
                }
                if (isNew) {
                    moved.add(session);
                }
            }
        }
        assertThat(moved).hasSize(300);
    }

    /** A session that moved may be sent back only while VMs pass the same moment one by one. */
    private static boolean settled(
            final Set<String> moved, final String session, final long at, final long step) {
        final CanaryPlan plan = new CanaryPlan(DURATION, SHARE);
        final boolean sameForAll =
                plan.sessionShare(Duration.ofMillis(at))
                        == plan.sessionShare(Duration.ofMillis(at - step));
        return sameForAll && moved.contains(session);
    }

    private Canary startVm(final long elapsedMillis) {
        final Canary vm = Canary.of(now::get, SHARE);
        vm.onVersionWithoutOrder("v1");
        vm.onOrder(order(RolloutPhase.IN_PROGRESS, 1), Duration.ofMillis(elapsedMillis));
        return vm;
    }

    /**
     * Symptom: a bad version is found only in the second half of its time. Cause: requests that
     * belong to no session waited for sessions; they have no version to keep.
     */
    @Test
    void requestsWithoutSessionGoToTheNewVersionFromTheOrderOn() {
        begin();
        int moved = 0;
        for (int i = 0; i < 10_000; i++) {
            moved += canary.choose(Optional.empty(), "request-" + i).toNew() ? 1 : 0;
        }
        assertThat(moved / 10_000.0).isBetween(0.06, 0.08);
    }

    @Test
    void requestsWithoutSessionGetLessThanTheAllowedShareOfTheNewVersionOverTheWholeTime() {
        begin();
        int moved = 0;
        final int requests = 24_000;
        for (int i = 0; i < requests; i++) {
            now.set(1_000_000 + i * DURATION.toMillis() / requests);
            moved += canary.choose(Optional.empty(), "request-" + i).toNew() ? 1 : 0;
        }
        assertThat(moved / (double) requests).isBetween(0.1, SHARE);
    }

    /**
     * Symptom: a request is sent to a version that is known to be bad. Events: its first attempt
     * goes to the new version, the version is found bad, the attempt fails. Cause: what the request
     * was meant for was not weighed again.
     */
    @Test
    void aVersionFoundBadGetsNoFurtherAttemptOfARequestThatWasMeantForIt() {
        begin();
        assertThat(canary.admits("v2", true)).isTrue();
        for (int i = 0; i < 2; i++) {
            canary.onResponse(worker(i), "v2", true, 0);
        }
        assertThat(canary.admits("v2", true)).isFalse();
    }

    @Test
    void afterACompletionOnlyTheTargetGetsRequests() {
        begin();
        canary.onOrder(order(RolloutPhase.COMPLETED, 2), DURATION);
        canary.onVersionWithoutOrder("v1");
        assertThat(canary.admits("v2", toNew("any"))).isTrue();
        assertThat(canary.admits("v1", toNew("any"))).isFalse();
    }

    /**
     * Symptom: a completed roll-out begins anew. Events: the state is heard twice, by a list and by
     * a watch, the older last. Cause: the revisions were not compared.
     */
    @Test
    void anOlderStateOfTheSameOrderChangesNothing() {
        begin();
        canary.onOrder(order(RolloutPhase.COMPLETED, 3), DURATION);
        canary.onOrder(order(RolloutPhase.IN_PROGRESS, 2), Duration.ZERO);
        assertThat(canary.phaseToWrite()).isEmpty();
        assertThat(canary.admits("v2", false)).isTrue();
    }

    @Test
    void afterARollBackTheTargetGetsNothing() {
        begin();
        canary.onOrder(order(RolloutPhase.ROLLED_BACK, 2), DURATION);
        canary.onVersionWithoutOrder("v2");
        assertThat(canary.admits("v2", false)).isFalse();
        assertThat(canary.admits("v1", toNew("any"))).isTrue();
    }

    /**
     * Symptom: after all VMs were killed in the middle of a roll-out, the completion comes too
     * late. Cause: the time already passed was lost with the memory.
     */
    @Test
    void aVmThatStartsInTheMiddleGoesOnFromTheTimePassed() {
        canary.onVersionWithoutOrder("v1");
        canary.onOrder(order(RolloutPhase.IN_PROGRESS, 2), Duration.ofMillis(23_800));
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.COMPLETED);
    }

    private static RolloutOrder begunOrder(final long revision) {
        return new RolloutOrder(
                ServiceName.of("models"),
                "v2",
                DURATION,
                RolloutPhase.IN_PROGRESS,
                Optional.of(Instant.EPOCH),
                Position.of(0, revision));
    }

    /**
     * Symptom: sessions change their version in the first half of a roll-out, through one VM.
     * Events: the VM is stopped and started in the middle; its time of day is 6 s ahead of that of
     * the VM that wrote when the roll-out began. Cause: each VM that starts reckoned the time since
     * the order by its own time of day.
     */
    @Test
    void aVmThatStartsWithAWrongTimeOfDayTakesTheAgeOfTheOrderFromOneThatHeardIt() {
        begin();
        now.addAndGet(9_000);
        final Canary started = Canary.of(now::get, SHARE);
        started.onOrder(begunOrder(2), Duration.ofMillis(15_000));
        assertThat(started.age()).isEmpty();
        canary.onOrder(begunOrder(2), Duration.ZERO);
        assertThat(started.onAge(canary.age().orElseThrow())).hasMillis(-6_000);
        assertThat(started.elapsed()).hasMillis(9_000);
        assertThat(started.age()).isPresent();
    }

    /**
     * Symptom: a VM sends sessions back to the old version. Events: it stands still for 3 s and
     * goes on. Cause: its steady clock did not count that time.
     */
    @Test
    void aVmThatStoodStillTakesTheOlderAgeAndNeverTheYounger() {
        begin();
        now.addAndGet(9_000);
        canary.onAge(new RolloutAge(ServiceName.of("models"), "v2", Position.of(0, 1), 12_000));
        assertThat(canary.elapsed()).hasMillis(12_000);
        canary.onAge(new RolloutAge(ServiceName.of("models"), "v2", Position.of(0, 1), 9_000));
        assertThat(canary.elapsed()).hasMillis(12_000);
    }

    @Test
    void theAgeOfAnotherOrderOrOfAnEarlierOneForTheSameVersionChangesNothing() {
        canary.onVersionWithoutOrder("v1");
        canary.onOrder(order(RolloutPhase.ORDERED, 10), Duration.ZERO);
        canary.onAge(new RolloutAge(ServiceName.of("models"), "v2", Position.of(0, 9), 12_000));
        canary.onAge(new RolloutAge(ServiceName.of("models"), "v3", Position.of(0, 11), 12_000));
        assertThat(canary.elapsed()).isZero();
    }

    private static RolloutOrder order(
            final String target, final RolloutPhase phase, final long era, final long revision) {
        return new RolloutOrder(
                ServiceName.of("models"),
                target,
                DURATION,
                phase,
                Optional.empty(),
                Position.of(era, revision));
    }

    private void hear(final RolloutOrder order) {
        canary.onOrder(order, Duration.ZERO);
    }

    /**
     * Symptom: a roll-out never begins. Events: the store comes back from a copy, and an order is
     * given at a lower revision than the last. Cause: revisions of two eras were compared.
     */
    @Test
    void anOrderOfALaterEraCountsAtALowerRevision() {
        canary.onVersionWithoutOrder("v1");
        hear(order("v2", RolloutPhase.COMPLETED, 1, 100));
        canary.onStoreRestored();
        hear(order("v3", RolloutPhase.ORDERED, 2, 70));
        assertThat(canary.admits("v3", true)).isTrue();
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.IN_PROGRESS);
    }

    /**
     * Symptom: a version found bad gets requests again. Events: its halt is lost with the store's
     * last seconds. Cause: the halt stood in the store alone, and nobody wrote it again.
     */
    @Test
    void aHaltThatTheStoreLostStaysAndIsDueOnceTheStoreSpeaksOfTheOrder() {
        begin();
        hear(order("v2", RolloutPhase.ROLLED_BACK, 0, 9));
        canary.onStoreRestored();
        assertThat(canary.phaseToWrite()).isEmpty();
        assertThat(canary.age()).isPresent();
        hear(order("v2", RolloutPhase.IN_PROGRESS, 1, 5));
        assertThat(canary.admits("v2", true)).isFalse();
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.ROLLED_BACK);
        assertThat(canary.rewritesLostPhase()).isTrue();
        hear(order("v2", RolloutPhase.ROLLED_BACK, 1, 6));
        assertThat(canary.phaseToWrite()).isEmpty();
        assertThat(canary.age()).isEmpty();
    }

    @Test
    void aVersionHaltedInAFormerEraRunsOnANewOrderGivenAfterItsHaltIsInTheStoreAgain() {
        begin();
        hear(order("v2", RolloutPhase.ROLLED_BACK, 0, 9));
        canary.onStoreRestored();
        hear(order("v2", RolloutPhase.IN_PROGRESS, 1, 5));
        hear(order("v2", RolloutPhase.ROLLED_BACK, 1, 6));
        hear(order("v2", RolloutPhase.ORDERED, 1, 7));
        assertThat(canary.admits("v2", true)).isTrue();
    }

    /**
     * Symptom: no worker is left for a service. Events: a completed roll-out runs again in the
     * copy; the old version's workers have stopped. Cause: the version was no longer in use.
     */
    @Test
    void aCompletionThatTheStoreLostStaysAndIsDue() {
        begin();
        hear(order("v2", RolloutPhase.COMPLETED, 0, 9));
        canary.onStoreRestored();
        hear(order("v2", RolloutPhase.IN_PROGRESS, 1, 5));
        assertThat(canary.admits("v2", false)).isTrue();
        assertThat(toNew("any")).isFalse();
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.COMPLETED);
        canary.onVersionWithoutOrder("v1");
        assertThat(canary.admits("v1", false)).isFalse();
    }

    /** The order before the present one, which the copy still holds, ends nothing. */
    @Test
    void anOlderOrderThatTheCopySpeaksOfInsteadChangesNothing() {
        hear(order("v1", RolloutPhase.COMPLETED, 1, 10));
        hear(order("v2", RolloutPhase.ORDERED, 1, 80));
        now.addAndGet(5_000);
        canary.onStoreRestored();
        hear(order("v1", RolloutPhase.COMPLETED, 2, 10));
        hear(order("v1", RolloutPhase.IN_PROGRESS, 2, 11));
        assertThat(canary.admits("v2", true)).isTrue();
        assertThat(canary.elapsed()).hasMillis(5_000);
        assertThat(canary.phaseToWrite()).isEmpty();
        hear(order("v2", RolloutPhase.ORDERED, 2, 15));
        assertThat(canary.elapsed()).hasMillis(5_000);
        assertThat(canary.phaseToWrite()).contains(RolloutPhase.IN_PROGRESS);
    }

    /**
     * Symptom: a VM that just started sends all its requests to workers of a version that is being
     * tried. Events: the store lost the order; both versions' workers are in it. Cause: no order
     * spoke of the version, so it counted as one in use.
     */
    @Test
    void aVersionOfWhichAnotherVmTellsIsNotTakenForOneInUse() {
        canary.onVersionWithoutOrder("v1");
        canary.onVersionWithoutOrder("v2");
        canary.onAge(new RolloutAge(ServiceName.of("models"), "v2", Position.of(1, 9), 4_000));
        assertThat(canary.admits("v2", false)).isFalse();
        assertThat(canary.admits("v1", false)).isTrue();
        now.addAndGet(ToldVersions.TOLD_MILLIS);
        assertThat(canary.admits("v2", false)).isTrue();
    }
}
