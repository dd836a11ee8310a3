package org.fennelstage.canary;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The ended rollout orders of one service that this VM knows.
 *
 * <p>A store that was restored from an older copy may hold an ended order as running. It cannot
 * hold a later state of an order than the one known here, so an order at a higher revision is a new
 * order for the same version. Not thread-safe.
 */
final class EndedOrders {

    private final Map<String, RolloutOrder> byTarget = new HashMap<>();

    private EndedOrders() {}

    static EndedOrders empty() {
        return new EndedOrders();
    }

    /** Records an order that has ended. */
    void onEnded(final RolloutOrder order) {
        byTarget.put(order.target(), order);
    }

    /**
     * Returns how an order ended that was read from a restored store.
     *
     * @param restored the order as the store holds it in a later era
     * @return its last phase, empty if this VM knows no end of it
     */
    Optional<RolloutPhase> endOf(final RolloutOrder restored) {
        return Optional.ofNullable(byTarget.get(restored.target()))
                .filter(known -> restored.position().revision() <= known.position().revision())
                .map(RolloutOrder::phase);
    }

    @Override
    public String toString() {
        return "EndedOrders" + byTarget.keySet();
    }
}
