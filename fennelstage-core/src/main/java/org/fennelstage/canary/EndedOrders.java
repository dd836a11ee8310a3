package org.fennelstage.canary;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * How the orders of one service ended, as far as this VM has heard.
 *
 * <p>A store that comes back from an older copy may say that an order runs which has ended. A copy
 * cannot hold a later state of an order than was heard of it, so an order at a higher revision is
 * another one for the same version. Not thread-safe.
 */
final class EndedOrders {

    private final Map<String, RolloutOrder> byTarget = new HashMap<>();

    private EndedOrders() {}

    static EndedOrders empty() {
        return new EndedOrders();
    }

    /** Notes an order that has ended. */
    void onEnded(final RolloutOrder order) {
        byTarget.put(order.target(), order);
    }

    /**
     * Returns how an order ended of which a copy of the store speaks.
     *
     * @param inCopy the order as the store has it in a later era
     * @return its end, empty if this VM knows none or the order was given after it
     */
    Optional<RolloutPhase> endOf(final RolloutOrder inCopy) {
        return Optional.ofNullable(byTarget.get(inCopy.target()))
                .filter(known -> inCopy.position().revision() <= known.position().revision())
                .map(RolloutOrder::phase);
    }

    @Override
    public String toString() {
        return "EndedOrders" + byTarget.keySet();
    }
}
