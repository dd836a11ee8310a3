package org.fennelstage.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.fennelstage.bill.Bill;
import org.junit.jupiter.api.Test;

/** Cascade over a smaller and a larger model, from first requests to sufficient ratings. */
class FleetCascadeTest {

    /** Guards against answers of the smaller model before ratings show that it is good enough. */
    @Test
    void whatIsNotKnownToBeGoodEnoughIsAnsweredByTheBestModelAndBilledOnce() throws IOException {
        try (Fleet fleet = fleet(0.9)) {
            final Fleet.Answer answer = fleet.chat(0, "digest");
            assertThat(answer.status()).isEqualTo(200);
            assertThat(fleet.ranOn(Fleet.GOOD)).isEqualTo(1);
            assertThat(fleet.ranOn(Fleet.LARGE)).isEqualTo(1);

            Fleet.await("the bill", () -> fleet.billed().contains(answer.request()));
            final Bill bill = fleet.bills().get(0);
            assertThat(bill.version()).isEqualTo(Fleet.LARGE);
            assertThat(bill.cost()).isEqualTo(2 * 4 * 1 / 1000.0);
        }
    }

    @Test
    void aCheapModelThatIsGoodEnoughAnswersAloneInTheEnd() throws IOException {
        try (Fleet fleet = fleet(0.9)) {
            Fleet.await(
                    "the cheap model to answer alone",
                    () ->
                            fleet.chat(0, "digest").explained().contains("pero@v1")
                                    && isAlone(fleet));
        }
    }

    @Test
    void aCheapModelThatIsNotGoodEnoughNeverAnswers() throws IOException {
        try (Fleet fleet = fleet(0.3)) {
            for (int i = 0; i < 300; i++) {
                final Fleet.Answer answer = fleet.chat(0, "digest");
                assertThat(answer.explained()).contains("version=grande@v1");
            }
        }
    }

    /** Guards against a cascade within a session, which would change the version of the session. */
    @Test
    void aSessionIsAnsweredByOneModelOnly() throws IOException {
        try (Fleet fleet = fleet(0.9)) {
            String token = fleet.chat(0, "digest", "x-session", "new").session();
            for (int i = 0; i < 5; i++) {
                final Fleet.Answer answer = fleet.chat(0, "digest", "x-session", token);
                assertThat(answer.status()).isEqualTo(200);
                token = answer.session();
            }
            assertThat(fleet.executions()).hasSize(6);
            assertThat(fleet.ranOn(Fleet.LARGE)).isEqualTo(6);
        }
    }

    private static boolean isAlone(final Fleet fleet) {
        final int before = fleet.executions().size();
        fleet.chat(0, "digest");
        return fleet.executions().size() == before + 1;
    }

    private static Fleet fleet(final double cheapSkill) throws IOException {
        return new Fleet(
                1,
                1,
                Fleet.behaviour(Fleet.GOOD, cheapSkill, 0),
                Fleet.behaviour(Fleet.LARGE, 0.97, 0));
    }
}
