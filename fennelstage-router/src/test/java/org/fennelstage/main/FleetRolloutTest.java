package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.fennelstage.id.RolloutId;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.peer.PeerTiming;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.Tolerance;
import org.fennelstage.standin.ObjectApiFaults;
import org.junit.jupiter.api.Test;

/** A bad new version is halted early on all VMs; a good one reaches all requests. */
class FleetRolloutTest {

    private static final RolloutId ID = RolloutId.of("june");
    private static final int MAX_EXPOSED = 50;

    /** Guards against evidence and exposure that are counted for each VM separately. */
    @Test
    void aCandidateThatFailsIsHaltedOnAllVmsWithFewExposed() throws IOException {
        try (Fleet fleet = fleet(0.9, 1)) {
            start(fleet);
            Fleet.await("the halt", () -> work(fleet) && isHaltedEverywhere(fleet));
            final long exposed = fleet.ranOn(Fleet.BAD);
            assertThat(exposed).isBetween(1L, (long) MAX_EXPOSED);

            for (int i = 0; i < 30; i++) {
                assertThat(fleet.chat(i % 9, "draft").status()).isEqualTo(200);
            }
            assertThat(fleet.ranOn(Fleet.BAD)).isEqualTo(exposed);
        }
    }

    /** Guards against a rollout that continues although answers are rated poor. */
    @Test
    void aCandidateThatIsRatedPoorIsHalted() throws IOException {
        try (Fleet fleet = fleet(0.3, 0)) {
            start(fleet);
            Fleet.await("the halt", () -> work(fleet) && isHaltedEverywhere(fleet));
            assertThat(fleet.ranOn(Fleet.BAD)).isBetween(1L, (long) MAX_EXPOSED);
        }
    }

    /** Guards against a halt that spreads only through the platform. */
    @Test
    void aHaltSpreadsFromPeerToPeerWhileThePlatformIsDown() throws IOException {
        try (Fleet fleet = fleet(0.9, 1)) {
            start(fleet);
            Fleet.await("a first exposure", () -> work(fleet) && fleet.ranOn(Fleet.BAD) > 0);
            fleet.platformDown(true);
            Fleet.await("the halt", () -> work(fleet) && isHaltedEverywhere(fleet));
            assertThat(fleet.ranOn(Fleet.BAD)).isLessThanOrEqualTo(MAX_EXPOSED);
        }
    }

    /** Guards against a halt that spreads only with probes: no VM probes in this test. */
    @Test
    void aHaltIsPushedToDataCentresThatHaveNoEvidenceOfTheirOwn() throws IOException {
        final PeerTiming neverProbes =
                new PeerTiming(Duration.ofHours(1), Duration.ofMillis(500), Duration.ofHours(1));
        try (Fleet fleet =
                new Fleet(
                        neverProbes,
                        3,
                        2,
                        Fleet.behaviour(Fleet.GOOD, 0.95, 0),
                        Fleet.behaviour(Fleet.BAD, 0.9, 1))) {
            start(fleet);
            Fleet.await(
                    "a first exposure", () -> workOn(fleet, 0, 1) && fleet.ranOn(Fleet.BAD) > 0);
            fleet.platformDown(true);
            Fleet.await("the halt", () -> workOn(fleet, 0, 1) && isHaltedEverywhere(fleet));
            assertThat(fleet.ranOn(Fleet.BAD)).isLessThanOrEqualTo(MAX_EXPOSED);
        }
    }

    /** Guards against use of the new version where the platform cannot assign exposure. */
    @Test
    void aDataCentreCutOffBeforeARolloutBeganExposesNobody() throws IOException {
        try (Fleet fleet = fleet(0.9, 0)) {
            for (int dc = 0; dc < 3; dc++) {
                fleet.platform(dc, new ObjectApiFaults(dc == 2, 0, 0, 0));
            }
            start(fleet);
            Fleet.await(
                    "the rollout to be known in the cut-off data centre",
                    () -> !fleet.node(8).configuration().rollouts().isEmpty());
            for (int i = 0; i < 100; i++) {
                final Fleet.Answer answer = fleet.chat(6 + i % 3, "draft");
                assertThat(answer.explained()).contains("version=pero@v1");
            }
        }
    }

    @Test
    void aGoodCandidateReachesAllTraffic() throws IOException {
        try (Fleet fleet = fleet(0.95, 0)) {
            start(fleet);
            Fleet.await(
                    "all traffic on the candidate",
                    () ->
                            work(fleet)
                                    && fleet.chat(0, "draft")
                                            .explained()
                                            .contains("version=pero@v2 ")
                                    && fleet.chat(0, "draft").explained().contains("why=proven"));
        }
    }

    /** Guards against a version that is no longer observed after its rollout. */
    @Test
    void aVersionThatTurnsBadAfterItsRolloutGivesWayToTheProvenOne() throws IOException {
        try (Fleet fleet = fleet(0.95, 0)) {
            start(fleet);
            Fleet.await("all traffic on the candidate", () -> work(fleet) && isOnCandidate(fleet));
            fleet.behave(Fleet.behaviour(Fleet.BAD, 0.95, 1));
            Fleet.await("the halt", () -> load(fleet) && isHaltedEverywhere(fleet));
            for (int node = 0; node < 9; node++) {
                assertThat(fleet.chat(node, "draft").explained()).contains("version=pero@v1");
            }
        }
    }

    private static boolean isOnCandidate(final Fleet fleet) {
        return fleet.nodes().stream()
                .allMatch(
                        n ->
                                fleet.chat(fleet.nodes().indexOf(n), "draft")
                                        .explained()
                                        .contains("version=pero@v2 "));
    }

    /** Sends requests without checking their status: they may fail until the halt. */
    private static boolean load(final Fleet fleet) {
        for (int node = 0; node < 9; node++) {
            fleet.chat(node, "draft");
        }
        return true;
    }

    private static Fleet fleet(final double skill, final double errors) throws IOException {
        return new Fleet(
                3,
                3,
                Fleet.behaviour(Fleet.GOOD, 0.95, 0),
                Fleet.behaviour(Fleet.BAD, skill, errors));
    }

    private static void start(final Fleet fleet) {
        fleet.declare(
                DeclarationKind.ROLLOUT,
                ID.value(),
                new Rollout(
                        ID,
                        Fleet.GOOD,
                        Fleet.BAD,
                        Rollout.State.RUNNING,
                        List.of(0.5, 1.0),
                        Tolerance.DEFAULT));
    }

    private static boolean work(final Fleet fleet) {
        return workOn(fleet, 0, 1, 2, 3, 4, 5, 6, 7, 8);
    }

    private static boolean workOn(final Fleet fleet, final int... nodes) {
        for (final int node : nodes) {
            assertThat(fleet.chat(node, "draft").status()).isEqualTo(200);
        }
        return true;
    }

    private static boolean isHaltedEverywhere(final Fleet fleet) {
        return fleet.nodes().stream().allMatch(n -> n.halts().find(ID).isPresent());
    }
}
