package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import org.fennelstage.model.ModelVersion;
import org.fennelstage.objects.DeclarationKind;
import org.fennelstage.peer.PeerTiming;
import org.fennelstage.session.KeyRing;
import org.fennelstage.standin.ObjectApiFaults;
import org.junit.jupiter.api.Test;

/** Configuration changes reach every VM that can reach the store or a peer, and never revert. */
class FleetConfigurationTest {

    /** Guards against changes that reach a data centre only through the store. */
    @Test
    void dataCentreCutOffFromTheStoreReceivesAWithdrawalFromPeers() throws IOException {
        try (Fleet fleet = new Fleet(3, 3)) {
            fleet.injectStoreFaults(2, new ObjectApiFaults(true, 0, 0, 0));
            fleet.declareVersion(Fleet.SMALL_V1, ModelVersion.State.WITHDRAWN);

            Fleet.await("all VMs to apply the withdrawal", () -> isWithdrawnOnAllVms(fleet));
            for (int vm = 6; vm < 9; vm++) {
                assertThat(fleet.chat(vm, "draft").outcome()).isEqualTo("refused-not-run");
            }
        }
    }

    /** Guards against a restarted VM that cannot become ready while the store is unavailable. */
    @Test
    void restartedVmGetsItsConfigurationFromPeersWhileTheStoreIsUnavailable() throws IOException {
        try (Fleet fleet = new Fleet(2, 2)) {
            fleet.setStoreUnavailable(true);
            fleet.crash(1);
            fleet.start(1);

            Fleet.await("the restarted VM to be ready", () -> fleet.vm(1).isReady());
            assertThat(fleet.chat(1, "draft").status()).isEqualTo(200);
            assertThat(fleet.vm(1).configuration().digest())
                    .isEqualTo(fleet.vm(0).configuration().digest());
        }
    }

    /** Guards against configurations that stay different after a network partition. */
    @Test
    void isolatedDataCentreCatchesUpAfterThePartition() throws IOException {
        try (Fleet fleet = new Fleet(2, 2)) {
            fleet.partition(0, 1);
            fleet.injectStoreFaults(1, new ObjectApiFaults(true, 0, 0, 0));
            fleet.declareVersion(Fleet.SMALL_V1, ModelVersion.State.WITHDRAWN);
            Fleet.await(
                    "the other data centre to apply the withdrawal",
                    () ->
                            !fleet.vm(0)
                                    .configuration()
                                    .versions(Fleet.SMALL_V1.model())
                                    .get(0)
                                    .acceptsNew());
            assertThat(fleet.chat(2, "draft").status()).isEqualTo(200);

            fleet.removePartitions();
            Fleet.await("all VMs to apply the withdrawal", () -> isWithdrawnOnAllVms(fleet));
        }
    }

    /** Guards against changes that spread only with probes: no VM probes in this test. */
    @Test
    void changeIsPushedWithoutWaitingForAProbe() throws IOException {
        final PeerTiming noProbes =
                new PeerTiming(Duration.ofHours(1), Duration.ofMillis(500), Duration.ofHours(1));
        try (Fleet fleet = new Fleet(noProbes, 2, 3)) {
            fleet.injectStoreFaults(1, new ObjectApiFaults(true, 0, 0, 0));
            fleet.declareVersion(Fleet.SMALL_V1, ModelVersion.State.WITHDRAWN);
            Fleet.await("all VMs to apply the withdrawal", () -> isWithdrawnOnAllVms(fleet));
        }
    }

    @Test
    void drainingBackendServerGetsNoNewRequests() throws IOException {
        try (Fleet fleet = new Fleet(1, 2)) {
            fleet.declare(
                    DeclarationKind.BACKEND_SERVER,
                    "engine-0-0",
                    new org.fennelstage.backend.BackendServer(
                            org.fennelstage.id.BackendServerId.of("engine-0-0"),
                            org.fennelstage.id.DataCentreId.of("dc-0"),
                            "127.0.0.1",
                            fleet.engine(0).port(),
                            Set.of(Fleet.SMALL_V1),
                            java.util.Optional.empty(),
                            16,
                            true));
            Fleet.await(
                    "all VMs to know that the server is draining",
                    () ->
                            fleet.vms().stream()
                                    .allMatch(
                                            vm ->
                                                    vm.configuration()
                                                                    .servers(Fleet.SMALL_V1)
                                                                    .size()
                                                            == 1));
            for (int i = 0; i < 20; i++) {
                assertThat(fleet.chat(i % 2, "draft").status()).isEqualTo(200);
            }
            assertThat(fleet.engine(0).executions()).isEmpty();
        }
    }

    /** Guards against a session that changes its version after a fault or a key rotation. */
    @Test
    void sessionKeepsItsVersionAcrossVmCrashKeyRotationAndStoreOutage() throws IOException {
        try (Fleet fleet = fleetWithTwoVersions()) {
            final String session = fleet.chat(0, "draft", "x-session", "new").sessionToken();
            assertThat(session).isNotEmpty();
            final String firstExplanation =
                    fleet.chat(0, "draft", "x-session", session).explanation();
            fleet.declare(
                    DeclarationKind.KEY_RING,
                    "sessions",
                    new KeyRing(
                            java.util.Optional.of("k2"),
                            java.util.Map.of("k1", "secret-1", "k2", "secret-2")));
            fleet.declareVersion(Fleet.SMALL_V1, ModelVersion.State.DRAINING);
            Fleet.await(
                    "all VMs to know the draining version and the new key",
                    () ->
                            fleet.vms().stream()
                                    .allMatch(
                                            vm ->
                                                    vm.configuration()
                                                                    .keys()
                                                                    .current()
                                                                    .equals(
                                                                            java.util.Optional.of(
                                                                                    "k2"))
                                                            && !vm.configuration()
                                                                    .version(Fleet.SMALL_V1)
                                                                    .get()
                                                                    .acceptsNew()));
            fleet.crash(0);
            fleet.setStoreUnavailable(true);

            String token = session;
            for (int vm : new int[] {1, 2, 3}) {
                final Fleet.Response response = fleet.chat(vm, "draft", "x-session", token);
                assertThat(response.status()).isEqualTo(200);
                assertThat(response.explanation())
                        .contains("version=pero@v1")
                        .contains("why=session");
                token = response.sessionToken();
            }
            assertThat(firstExplanation).contains("version=pero@v1");
            assertThat(fleet.chat(1, "draft").explanation()).contains("version=pero@v2");
        }
    }

    @Test
    void sessionOfAWithdrawnVersionIsRejectedAndNotMoved() throws IOException {
        try (Fleet fleet = fleetWithTwoVersions()) {
            final String session = fleet.chat(0, "draft", "x-session", "new").sessionToken();
            fleet.declareVersion(Fleet.SMALL_V1, ModelVersion.State.WITHDRAWN);
            Fleet.await("all VMs to apply the withdrawal", () -> isWithdrawnOnAllVms(fleet));

            final Fleet.Response response = fleet.chat(1, "draft", "x-session", session);
            assertThat(response.status()).isEqualTo(410);
            assertThat(response.outcome()).isEqualTo("refused-not-run");
        }
    }

    private static Fleet fleetWithTwoVersions() throws IOException {
        return new Fleet(
                2,
                2,
                Fleet.behaviour(Fleet.SMALL_V1, 0.9, 0),
                Fleet.behaviour(Fleet.SMALL_V2, 0.9, 0));
    }

    private static boolean isWithdrawnOnAllVms(final Fleet fleet) {
        return fleet.vms().stream()
                .allMatch(
                        vm ->
                                vm.configuration()
                                        .version(Fleet.SMALL_V1)
                                        .filter(v -> !v.acceptsSession())
                                        .isPresent());
    }
}
