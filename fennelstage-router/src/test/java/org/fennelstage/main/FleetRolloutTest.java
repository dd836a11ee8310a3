package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.fennelstage.id.RolloutId;
import org.fennelstage.id.VersionId;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.peer.PeerTiming;
import org.fennelstage.rollout.Rollout;
import org.fennelstage.rollout.Tolerance;
import org.fennelstage.standin.ObjectApiFaults;
import org.junit.jupiter.api.Test;

/** Rollouts: a bad new version is halted early on all VMs; a good one reaches all requests. */
class FleetRolloutTest {

    private static final RolloutId ID = RolloutId.of("june");
    private static final VersionId CURRENT_VERSION = Fleet.SMALL_V1;
    private static final VersionId NEW_VERSION = Fleet.SMALL_V2;
    private static final int MAX_EXPOSURES = 50;

    /** Guards against evidence and exposures that are counted for each VM separately. */
    @Test
    void failingNewVersionIsHaltedOnAllVmsAfterFewExposures() throws IOException {
        try (Fleet fleet = fleet(0.9, 1)) {
            startRollout(fleet);
            Fleet.await(
                    "all VMs to know the halt",
                    () -> completeRequests(fleet) && isHaltedOnAllVms(fleet));
            final long exposures = fleet.executionCount(NEW_VERSION);
            assertThat(exposures).isBetween(1L, (long) MAX_EXPOSURES);

            for (int i = 0; i < 30; i++) {
                assertThat(fleet.chat(i % 9, "draft").status()).isEqualTo(200);
            }
            assertThat(fleet.executionCount(NEW_VERSION)).isEqualTo(exposures);
        }
    }

    /** Guards against a rollout that continues although its answers are rated poor. */
    @Test
    void poorlyRatedNewVersionIsHalted() throws IOException {
        try (Fleet fleet = fleet(0.3, 0)) {
            startRollout(fleet);
            Fleet.await(
                    "all VMs to know the halt",
                    () -> completeRequests(fleet) && isHaltedOnAllVms(fleet));
            assertThat(fleet.executionCount(NEW_VERSION)).isBetween(1L, (long) MAX_EXPOSURES);
        }
    }

    /** Guards against a halt that spreads only through the store. */
    @Test
    void haltSpreadsThroughPeersWhileTheStoreIsUnavailable() throws IOException {
        try (Fleet fleet = fleet(0.9, 1)) {
            startRollout(fleet);
            Fleet.await(
                    "the first exposure",
                    () -> completeRequests(fleet) && fleet.executionCount(NEW_VERSION) > 0);
            fleet.setStoreUnavailable(true);
            Fleet.await(
                    "all VMs to know the halt",
                    () -> completeRequests(fleet) && isHaltedOnAllVms(fleet));
            assertThat(fleet.executionCount(NEW_VERSION)).isLessThanOrEqualTo(MAX_EXPOSURES);
        }
    }

    /** Guards against a halt that spreads only with probes: no VM probes in this test. */
    @Test
    void haltIsPushedToDataCentresWithoutEvidenceOfTheirOwn() throws IOException {
        final PeerTiming noProbes =
                new PeerTiming(Duration.ofHours(1), Duration.ofMillis(500), Duration.ofHours(1));
        try (Fleet fleet =
                new Fleet(
                        noProbes,
                        3,
                        2,
                        Fleet.behaviour(CURRENT_VERSION, 0.95, 0),
                        Fleet.behaviour(NEW_VERSION, 0.9, 1))) {
            startRollout(fleet);
            Fleet.await(
                    "the first exposure",
                    () -> completeRequestsOn(fleet, 0, 1) && fleet.executionCount(NEW_VERSION) > 0);
            fleet.setStoreUnavailable(true);
            Fleet.await(
                    "all VMs to know the halt",
                    () -> completeRequestsOn(fleet, 0, 1) && isHaltedOnAllVms(fleet));
            assertThat(fleet.executionCount(NEW_VERSION)).isLessThanOrEqualTo(MAX_EXPOSURES);
        }
    }

    /** Guards against use of the new version where no exposures can be reserved in the store. */
    @Test
    void dataCentreCutOffFromTheStoreBeforeARolloutNeverUsesTheNewVersion() throws IOException {
        try (Fleet fleet = fleet(0.9, 0)) {
            for (int dataCentre = 0; dataCentre < 3; dataCentre++) {
                fleet.injectStoreFaults(dataCentre, new ObjectApiFaults(dataCentre == 2, 0, 0, 0));
            }
            startRollout(fleet);
            Fleet.await(
                    "the rollout to be known in the cut-off data centre",
                    () -> !fleet.vm(8).configuration().rollouts().isEmpty());
            for (int i = 0; i < 100; i++) {
                final Fleet.Response response = fleet.chat(6 + i % 3, "draft");
                assertThat(response.explanation()).contains("version=pero@v1");
            }
        }
    }

    @Test
    void goodNewVersionReachesAllRequests() throws IOException {
        try (Fleet fleet = fleet(0.95, 0)) {
            startRollout(fleet);
            Fleet.await(
                    "all requests to use the new version",
                    () ->
                            completeRequests(fleet)
                                    && fleet.chat(0, "draft")
                                            .explanation()
                                            .contains("version=pero@v2 ")
                                    && fleet.chat(0, "draft").explanation().contains("why=proven"));
        }
    }

    /** Guards against a version that is no longer observed after its rollout. */
    @Test
    void versionThatDegradesAfterItsRolloutIsReplacedByThePreviousOne() throws IOException {
        try (Fleet fleet = fleet(0.95, 0)) {
            startRollout(fleet);
            Fleet.await(
                    "all requests to use the new version",
                    () -> completeRequests(fleet) && allVmsUseNewVersion(fleet));
            fleet.setBehaviour(Fleet.behaviour(NEW_VERSION, 0.95, 1));
            Fleet.await(
                    "all VMs to know the halt",
                    () -> sendRequests(fleet) && isHaltedOnAllVms(fleet));
            for (int vm = 0; vm < 9; vm++) {
                assertThat(fleet.chat(vm, "draft").explanation()).contains("version=pero@v1");
            }
        }
    }

    private static boolean allVmsUseNewVersion(final Fleet fleet) {
        return fleet.vms().stream()
                .allMatch(
                        vm ->
                                fleet.chat(fleet.vms().indexOf(vm), "draft")
                                        .explanation()
                                        .contains("version=pero@v2 "));
    }

    /** Sends requests without checking their status: they may fail until the halt. */
    private static boolean sendRequests(final Fleet fleet) {
        for (int vm = 0; vm < 9; vm++) {
            fleet.chat(vm, "draft");
        }
        return true;
    }

    private static Fleet fleet(final double skill, final double errors) throws IOException {
        return new Fleet(
                3,
                3,
                Fleet.behaviour(CURRENT_VERSION, 0.95, 0),
                Fleet.behaviour(NEW_VERSION, skill, errors));
    }

    private static void startRollout(final Fleet fleet) {
        fleet.declare(
                DeclarationKind.ROLLOUT,
                ID.value(),
                new Rollout(
                        ID,
                        CURRENT_VERSION,
                        NEW_VERSION,
                        Rollout.State.RUNNING,
                        List.of(0.5, 1.0),
                        Tolerance.DEFAULT));
    }

    private static boolean completeRequests(final Fleet fleet) {
        return completeRequestsOn(fleet, 0, 1, 2, 3, 4, 5, 6, 7, 8);
    }

    private static boolean completeRequestsOn(final Fleet fleet, final int... vms) {
        for (final int vm : vms) {
            assertThat(fleet.chat(vm, "draft").status()).isEqualTo(200);
        }
        return true;
    }

    private static boolean isHaltedOnAllVms(final Fleet fleet) {
        return fleet.vms().stream().allMatch(vm -> vm.halts().find(ID).isPresent());
    }
}
