package org.fennelstage.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.junit.jupiter.api.Test;

class OutlierDetectionTest {

    private static final long START = 12;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private double draw;
    private final LoadBoard board = LoadBoard.of(now::get, () -> 1);
    private final OutlierDetection detection = OutlierDetection.of(board, () -> draw);
    private final TrackedServer a = server("a", "v1");
    private final TrackedServer b = server("b", "v1");

    private TrackedServer server(final String id, final String version) {
        final ServerEntry entry =
                new ServerEntry(
                        new Incarnation(BackendServerId.of(id), START),
                        ServiceName.of("portal"),
                        new ServerAddress("127.0.0.1", 9_000),
                        DataCentreId.of("dc"),
                        version,
                        6,
                        false,
                        Position.of(0, 1));
        return TrackedServer.of(entry, now::get, Reachability.of(now::get));
    }

    private static Load outcomes(final double responses, final double excess) {
        return new Load(0, 0, new Outcomes(START, responses, excess));
    }

    private void report(final String vm, final Load ofA, final Load ofB) {
        board.onReport(VmId.of(vm), Map.of(a.entry().id(), ofA, b.entry().id(), ofB));
    }

    private List<Boolean> update() {
        return detection.update(List.of(a, b)).stream()
                .map(OutlierDetection.Change::outlier)
                .toList();
    }

    @Test
    void serverThatFailsMoreOftenThanAnotherIsSuspect() {
        report("vm-1", outcomes(20, 9), outcomes(20, 0));
        assertThat(update()).containsExactly(true);
        assertThat(a.health().tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
        assertThat(b.health().tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        assertThat(update()).isEmpty();
    }

    @Test
    void serverThatFailsMostRequestsIsFailing() {
        report("vm-1", outcomes(20, 20), outcomes(20, 0));
        assertThat(update()).containsExactly(true);
        assertThat(a.health().tier()).isEqualTo(ServerHealth.Tier.FAILING);
        assertThat(b.health().tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
        assertThat(update()).isEmpty();
    }

    /** Guards against a server that serves most requests and gets none, for a few that failed. */
    @Test
    void fewFailuresMakeAServerSuspectButNotFailing() {
        report("vm-1", outcomes(4, 4), outcomes(20, 0));
        assertThat(update()).containsExactly(true);
        assertThat(a.health().tier()).isEqualTo(ServerHealth.Tier.SUSPECT);
    }

    @Test
    void failingServerStaysFailingWhileItsEvidenceThinsOut() {
        report("vm-1", outcomes(20, 20), outcomes(20, 0));
        update();
        report("vm-1", outcomes(3, 3), outcomes(20, 0));
        update();
        assertThat(a.health().tier()).isEqualTo(ServerHealth.Tier.FAILING);
    }

    @Test
    void suspicionEndsAtARandomMomentAfterTheEvidence() {
        draw = 0.5;
        report("vm-1", outcomes(20, 20), outcomes(20, 0));
        update();
        report("vm-1", Load.NONE, outcomes(20, 0));
        now.addAndGet(1_200);
        assertThat(update()).isEmpty();
        now.addAndGet(200);
        assertThat(update()).containsExactly(false);
        assertThat(a.health().tier()).isEqualTo(ServerHealth.Tier.HEALTHY);
    }

    @Test
    void serversThatFailAlikeAreNoOutliers() {
        report("vm-1", outcomes(20, 18), outcomes(20, 20));
        assertThat(update()).isEmpty();
    }

    /** Guards against a service whose failing server is compared with one that gets no requests. */
    @Test
    void serverIsNotComparedWithOneThatGetsNoRequests() {
        report("vm-1", outcomes(20, 20), Load.NONE);
        assertThat(update()).isEmpty();
    }

    /** Guards against a VM with broken links that excludes sound servers for all. */
    @Test
    void failuresOfOneVmMakeNoOutlierForOthers() {
        final TrackedServer seenByOther = server("a", "v1");
        for (int i = 0; i < 50; i++) {
            seenByOther.health().onEnd(true, 0);
        }
        report("vm-1", seenByOther.report(), outcomes(20, 0));
        assertThat(update()).isEmpty();
    }

    @Test
    void failuresOfTwoVmsMakeAnOutlier() {
        report("vm-1", outcomes(2, 2), outcomes(20, 0));
        report("vm-2", outcomes(2, 2), outcomes(20, 0));
        assertThat(update()).containsExactly(true);
    }

    @Test
    void ownOutcomesCountWithThoseOfOthers() {
        report("vm-1", outcomes(2, 2), outcomes(20, 0));
        a.health().onEnd(true, 0);
        assertThat(update()).containsExactly(true);
    }

    @Test
    void vmWithoutReportsOfOthersFindsNoOutliers() {
        for (int i = 0; i < 20; i++) {
            a.health().onEnd(true, 0);
            b.health().onEnd(false, 0);
        }
        assertThat(update()).isEmpty();
    }

    /**
     * Guards against a restarted server that is excluded for the failures of its former process.
     */
    @Test
    void outcomesOfAFormerIncarnationDoNotCount() {
        final Load former = new Load(0, 0, new Outcomes(START - 1, 20, 20));
        report("vm-1", former, outcomes(20, 0));
        assertThat(update()).isEmpty();
    }

    /**
     * Guards against a rollout whose bad version shows no failures, since others get its requests.
     */
    @Test
    void serversOfDifferentVersionsAreNotCompared() {
        final TrackedServer newer = server("a", "v2");
        report("vm-1", outcomes(20, 20), outcomes(20, 0));
        assertThat(detection.update(List.of(newer, b))).isEmpty();
    }

    @Test
    void evidenceDecaysWithoutRequests() {
        a.health().onEnd(true, 0);
        now.addAndGet(1_000);
        assertThat(a.outcomes()).isEqualTo(new Outcomes(START, 0.5, 0.5));
    }

    /** Guards against a comparison that is skipped although it would find an outlier. */
    @Test
    void serverWithTheLeastExcessOfAnOutlierIsFound() {
        report("vm-1", outcomes(0.1, 1.54), outcomes(20, 0));
        assertThat(update()).containsExactly(true);
    }

    /** Guards against failures that are offset by the successes of other servers. */
    @Test
    void successesOfAnotherServerDoNotHideFailures() {
        for (final String vm : List.of("vm-1", "vm-2", "vm-3")) {
            report(vm, outcomes(1, 1), outcomes(20, -5));
        }
        assertThat(update()).containsExactly(true);
    }

    /** Guards against outcomes that are left out of a report although they have weight. */
    @Test
    void onlyResponsesWithoutWeightInAReportAreNotRecent() {
        for (int i = 0; i < 100; i++) {
            a.health().onEnd(i % 2 == 0, 0.1);
        }
        while (a.hasRecentResponses()) {
            now.addAndGet(100);
        }
        assertThat(a.report().outcomes()).isEqualTo(Outcomes.NONE);
        a.health().onEnd(true, 0);
        assertThat(a.hasRecentResponses()).isTrue();
    }
}
