package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.standin.ModelEngine;
import org.junit.jupiter.api.Test;

/** Outcomes reported for retried idempotent requests. */
class FleetRetriesTest {

    private static final int UNREACHABLE_SERVERS = 30;
    private static final int REQUESTS = 300;

    /** Guards against reporting "not run" if an earlier attempt of the request ran. */
    @Test
    void requestIsNeverReportedAsNotRunIfAnyAttemptRan() throws IOException {
        try (Fleet fleet = new Fleet(1, 1, Fleet.behaviour(Fleet.SMALL_V1, 0.9, 1))) {
            final int port = closedPort();
            for (int i = 0; i < UNREACHABLE_SERVERS; i++) {
                fleet.declareServer(
                        "unreachable-" + i, 0, port, Set.of(Fleet.SMALL_V1), Optional.empty());
            }
            Fleet.await(
                    "the VM to know all servers",
                    () ->
                            fleet.vm(0).configuration().servers(Fleet.SMALL_V1).size()
                                    == UNREACHABLE_SERVERS + 2);
            final Map<String, String> outcomes = new HashMap<>();
            for (int i = 0; i < REQUESTS; i++) {
                final Fleet.Response response =
                        fleet.chatWithPrompt(0, "draft", "prompt " + i).join();
                outcomes.put(response.requestId(), response.outcome());
            }
            final Set<String> ran = new HashSet<>();
            for (final ModelEngine.Execution execution : fleet.executions()) {
                ran.add(execution.request());
            }
            assertThat(ran).isNotEmpty();
            assertThat(ran).allMatch(r -> !outcomes.get(r).equals("refused-not-run"));
            assertThat(outcomes.values()).contains("refused-not-run");
        }
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
