package org.fennelstage.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fennelstage.canary.RolloutOrder;
import org.fennelstage.canary.RolloutPhase;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.history.Position;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CandidatesTest {

    private static final ServiceName MODELS = ServiceName.of("models");
    private static final Position BEFORE_THE_ORDER = Position.of(0, 1);
    private static final Position ORDERED = Position.of(0, 2);

    private final GatewayState state =
            new GatewayState(
                    () -> 0,
                    new GatewaySettings(
                            0.9,
                            Duration.ofSeconds(10),
                            50,
                            0.1,
                            Duration.ofSeconds(2),
                            Duration.ofSeconds(2),
                            Duration.ofSeconds(8)));

    @BeforeEach
    void startRolloutOfV2() {
        state.onOrdersReadUpTo(BEFORE_THE_ORDER);
        state.onServer(server("i-1", "v1", BEFORE_THE_ORDER));
        state.canary(MODELS)
                .onOrder(
                        new RolloutOrder(
                                MODELS,
                                "v2",
                                Duration.ofSeconds(20),
                                RolloutPhase.IN_PROGRESS,
                                Optional.empty(),
                                ORDERED),
                        Duration.ofSeconds(1));
        state.onOrdersReadUpTo(ORDERED);
        state.onServer(server("i-2", "v2", ORDERED));
    }

    private static ServerEntry server(
            final String id, final String version, final Position position) {
        return new ServerEntry(
                Incarnation.of(BackendServerId.of(id)),
                MODELS,
                new ServerAddress("10.0.0.1", 80),
                DataCentreId.of("dc-a"),
                version,
                4,
                false,
                position);
    }

    private List<String> candidates(final boolean toNew) {
        return state.candidates(MODELS, toNew).stream()
                .map(server -> server.entry().id().value())
                .toList();
    }

    @Test
    void requestsForTheNewVersionGoToItsServers() {
        assertThat(candidates(true)).containsExactly("i-2");
        assertThat(candidates(false)).containsExactly("i-1");
    }

    /** Guards against sessions that change their version while its servers reject requests. */
    @Test
    void requestsForTheNewVersionDoNotGoToThePreviousOneWhileItsServersRejectThem() {
        for (final TrackedServer server : state.servers().usable(MODELS)) {
            if (server.entry().version().equals("v2")) {
                server.onRejected(Duration.ofSeconds(1));
            }
        }
        assertThat(candidates(true)).isEmpty();
    }
}
