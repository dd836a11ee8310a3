package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.standin.VersionBehaviour;
import org.junit.jupiter.api.Test;

class FleetStopTest {

    private static final double LONGER_THAN_THE_DRAIN_MILLIS = 15_000;

    /** Guards against requests that a stopping VM ends without an answer. */
    @Test
    void aRequestThatIsOpenAtTheEndOfTheDrainGetsItsOutcome() throws IOException {
        try (Fleet fleet = new Fleet(1, 2)) {
            fleet.setBehaviour(
                    new VersionBehaviour(
                            Fleet.SMALL_V1, 0.9, 0, 0, 1, LONGER_THAN_THE_DRAIN_MILLIS));
            final CompletableFuture<Fleet.Response> response = fleet.chatAsync(0, "draft");
            Fleet.await("the request to run", () -> !fleet.executions().isEmpty());
            fleet.vm(0).stop();
            assertThat(response.join().outcome()).isEqualTo("outcome-unknown");
        }
    }
}
