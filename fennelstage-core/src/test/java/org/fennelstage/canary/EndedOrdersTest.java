package org.fennelstage.canary;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.fennelstage.history.Position;
import org.fennelstage.id.ServiceName;
import org.junit.jupiter.api.Test;

class EndedOrdersTest {

    private final EndedOrders orders = EndedOrders.empty();

    private static RolloutOrder order(
            final String target, final RolloutPhase phase, final long era, final long revision) {
        return new RolloutOrder(
                ServiceName.of("models"),
                target,
                Duration.ofSeconds(20),
                phase,
                Optional.empty(),
                Position.of(era, revision));
    }

    @Test
    void anEndedOrderStaysEndedIfARestoredStoreHoldsItAsRunning() {
        orders.onEnded(order("v2", RolloutPhase.ROLLED_BACK, 1, 90));
        assertThat(orders.endOf(order("v2", RolloutPhase.IN_PROGRESS, 2, 80)))
                .contains(RolloutPhase.ROLLED_BACK);
    }

    @Test
    void anOrderAtAHigherRevisionOrForAnotherVersionHasNoKnownEnd() {
        orders.onEnded(order("v2", RolloutPhase.ROLLED_BACK, 1, 90));
        assertThat(orders.endOf(order("v2", RolloutPhase.ORDERED, 2, 91))).isEmpty();
        assertThat(orders.endOf(order("v3", RolloutPhase.ORDERED, 2, 80))).isEmpty();
    }
}
