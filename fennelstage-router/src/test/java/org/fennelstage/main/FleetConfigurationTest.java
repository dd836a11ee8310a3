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

/** Configuration reaches every VM that the platform or a peer can reach, and never reverts. */
class FleetConfigurationTest {

    /** Guards against changes that reach a data centre only through the platform. */
    @Test
    void aDataCentreCutOffFromThePlatformHearsOfAWithdrawalFromPeers() throws IOException {
        try (Fleet fleet = new Fleet(3, 3)) {
            fleet.platform(2, new ObjectApiFaults(true, 0, 0, 0));
            fleet.state(Fleet.GOOD, ModelVersion.State.WITHDRAWN);

            Fleet.await("the withdrawal everywhere", () -> isWithdrawnEverywhere(fleet));
            for (int node = 6; node < 9; node++) {
                assertThat(fleet.chat(node, "draft").outcome()).isEqualTo("refused-not-run");
            }
        }
    }

    /** Guards against a replaced VM that cannot become ready during a platform outage. */
    @Test
    void aFreshVmStartsFromPeersWhileThePlatformIsDown() throws IOException {
        try (Fleet fleet = new Fleet(2, 2)) {
            fleet.platformDown(true);
            fleet.kill(1);
            fleet.start(1);

            Fleet.await("the fresh VM to be ready", () -> fleet.node(1).isReady());
            assertThat(fleet.chat(1, "draft").status()).isEqualTo(200);
            assertThat(fleet.node(1).configuration().digest())
                    .isEqualTo(fleet.node(0).configuration().digest());
        }
    }

    /** Guards against configurations that stay different after a network partition. */
    @Test
    void aDataCentreThatWasCutOffFromEverythingCatchesUp() throws IOException {
        try (Fleet fleet = new Fleet(2, 2)) {
            fleet.cut(0, 1);
            fleet.platform(1, new ObjectApiFaults(true, 0, 0, 0));
            fleet.state(Fleet.GOOD, ModelVersion.State.WITHDRAWN);
            Fleet.await(
                    "the withdrawal at home",
                    () ->
                            !fleet.node(0)
                                    .configuration()
                                    .versions(Fleet.GOOD.model())
                                    .get(0)
                                    .acceptsNew());
            assertThat(fleet.chat(2, "draft").status()).isEqualTo(200);

            fleet.removeCuts();
            Fleet.await("the withdrawal everywhere", () -> isWithdrawnEverywhere(fleet));
        }
    }

    /** Guards against changes that spread only with probes: no VM probes in this test. */
    @Test
    void aChangeIsPushedWithoutWaitingForAProbe() throws IOException {
        final PeerTiming neverProbes =
                new PeerTiming(Duration.ofHours(1), Duration.ofMillis(500), Duration.ofHours(1));
        try (Fleet fleet = new Fleet(neverProbes, 2, 3)) {
            fleet.platform(1, new ObjectApiFaults(true, 0, 0, 0));
            fleet.state(Fleet.GOOD, ModelVersion.State.WITHDRAWN);
            Fleet.await("the withdrawal everywhere", () -> isWithdrawnEverywhere(fleet));
        }
    }

    @Test
    void aDrainingBackendServerGetsNoNewWork() throws IOException {
        try (Fleet fleet = new Fleet(1, 2)) {
            fleet.declare(
                    DeclarationKind.BACKEND_SERVER,
                    "engine-0-0",
                    new org.fennelstage.backend.BackendServer(
                            org.fennelstage.id.BackendServerId.of("engine-0-0"),
                            org.fennelstage.id.DataCentreId.of("dc-0"),
                            "127.0.0.1",
                            fleet.engine(0).port(),
                            Set.of(Fleet.GOOD),
                            java.util.Optional.empty(),
                            16,
                            true));
            Fleet.await(
                    "the draining server to be known",
                    () ->
                            fleet.nodes().stream()
                                    .allMatch(
                                            n ->
                                                    n.configuration().servers(Fleet.GOOD).size()
                                                            == 1));
            for (int i = 0; i < 20; i++) {
                assertThat(fleet.chat(i % 2, "draft").status()).isEqualTo(200);
            }
            assertThat(fleet.engine(0).executions()).isEmpty();
        }
    }

    /** Guards against a session that changes its version after faults and key rotation. */
    @Test
    void aSessionKeepsItsVersionOverVmDeathKeyRotationAndOutage() throws IOException {
        try (Fleet fleet = twoVersions()) {
            final String session = fleet.chat(0, "draft", "x-session", "new").session();
            assertThat(session).isNotEmpty();
            final String began = fleet.chat(0, "draft", "x-session", session).explained();
            fleet.declare(
                    DeclarationKind.KEY_RING,
                    "sessions",
                    new KeyRing(
                            java.util.Optional.of("k2"),
                            java.util.Map.of("k1", "secret-1", "k2", "secret-2")));
            fleet.state(Fleet.GOOD, ModelVersion.State.DRAINING);
            Fleet.await(
                    "draining everywhere",
                    () ->
                            fleet.nodes().stream()
                                    .allMatch(
                                            n ->
                                                    n.configuration()
                                                                    .keys()
                                                                    .current()
                                                                    .equals(
                                                                            java.util.Optional.of(
                                                                                    "k2"))
                                                            && !n.configuration()
                                                                    .version(Fleet.GOOD)
                                                                    .get()
                                                                    .acceptsNew()));
            fleet.kill(0);
            fleet.platformDown(true);

            String token = session;
            for (int node : new int[] {1, 2, 3}) {
                final Fleet.Answer answer = fleet.chat(node, "draft", "x-session", token);
                assertThat(answer.status()).isEqualTo(200);
                assertThat(answer.explained()).contains("version=pero@v1").contains("why=session");
                token = answer.session();
            }
            assertThat(began).contains("version=pero@v1");
            assertThat(fleet.chat(1, "draft").explained()).contains("version=pero@v2");
        }
    }

    @Test
    void aSessionOfAWithdrawnVersionIsRejectedAndNotMoved() throws IOException {
        try (Fleet fleet = twoVersions()) {
            final String session = fleet.chat(0, "draft", "x-session", "new").session();
            fleet.state(Fleet.GOOD, ModelVersion.State.WITHDRAWN);
            Fleet.await("the withdrawal everywhere", () -> isWithdrawnEverywhere(fleet));

            final Fleet.Answer answer = fleet.chat(1, "draft", "x-session", session);
            assertThat(answer.status()).isEqualTo(410);
            assertThat(answer.outcome()).isEqualTo("refused-not-run");
        }
    }

    private static Fleet twoVersions() throws IOException {
        return new Fleet(
                2, 2, Fleet.behaviour(Fleet.GOOD, 0.9, 0), Fleet.behaviour(Fleet.BAD, 0.9, 0));
    }

    private static boolean isWithdrawnEverywhere(final Fleet fleet) {
        return fleet.nodes().stream()
                .allMatch(
                        n ->
                                n.configuration()
                                        .version(Fleet.GOOD)
                                        .filter(v -> !v.acceptsSession())
                                        .isPresent());
    }
}
