package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.fennelstage.bill.Bill;
import org.junit.jupiter.api.Test;

/** Cascade of a small and a large model, before and after enough answers are rated. */
class FleetCascadeTest {

    /** Guards against answers of the small model before ratings show that they are good enough. */
    @Test
    void withoutRatingsTheLargeModelAnswersAndTheRequestIsBilledOnce() throws IOException {
        try (Fleet fleet = fleet(0.9)) {
            final Fleet.Response response = fleet.chat(0, "digest");
            assertThat(response.status()).isEqualTo(200);
            assertThat(fleet.executionCount(Fleet.SMALL_V1)).isEqualTo(1);
            assertThat(fleet.executionCount(Fleet.LARGE_V1)).isEqualTo(1);

            Fleet.await(
                    "the bill to be stored",
                    () -> fleet.billedRequests().contains(response.requestId()));
            final Bill bill = fleet.bills().get(0);
            assertThat(bill.version()).isEqualTo(Fleet.LARGE_V1);
            assertThat(bill.cost()).isEqualTo(2 * 4 * 1 / 1000.0);
        }
    }

    @Test
    void smallModelWithGoodRatingsEventuallyAnswersAlone() throws IOException {
        try (Fleet fleet = fleet(0.9)) {
            Fleet.await(
                    "the small model to answer alone",
                    () ->
                            fleet.chat(0, "digest").explanation().contains("pero@v1")
                                    && runsOneModel(fleet));
        }
    }

    @Test
    void smallModelWithPoorRatingsNeverAnswers() throws IOException {
        try (Fleet fleet = fleet(0.3)) {
            for (int i = 0; i < 300; i++) {
                final Fleet.Response response = fleet.chat(0, "digest");
                assertThat(response.explanation()).contains("version=grande@v1");
            }
        }
    }

    /** Guards against a cascade within a session, which would change the version of the session. */
    @Test
    void sessionUsesOnlyOneModel() throws IOException {
        try (Fleet fleet = fleet(0.9)) {
            String token = fleet.chat(0, "digest", "x-session", "new").sessionToken();
            for (int i = 0; i < 5; i++) {
                final Fleet.Response response = fleet.chat(0, "digest", "x-session", token);
                assertThat(response.status()).isEqualTo(200);
                token = response.sessionToken();
            }
            assertThat(fleet.executions()).hasSize(6);
            assertThat(fleet.executionCount(Fleet.LARGE_V1)).isEqualTo(6);
        }
    }

    private static boolean runsOneModel(final Fleet fleet) {
        final int before = fleet.executions().size();
        fleet.chat(0, "digest");
        return fleet.executions().size() == before + 1;
    }

    private static Fleet fleet(final double smallModelSkill) throws IOException {
        return new Fleet(
                1,
                1,
                Fleet.behaviour(Fleet.SMALL_V1, smallModelSkill, 0),
                Fleet.behaviour(Fleet.LARGE_V1, 0.97, 0));
    }
}
