package org.fennelstage.startup;

import java.util.Objects;
import java.util.OptionalLong;
import org.fennelstage.history.Position;

/**
 * Decides whether a VM gives a copy of its state to one that starts while the store is unavailable.
 * Stateless and thread-safe.
 */
public final class CopyTerms {

    /** Whether a copy is given, and why not. */
    public enum Answer {
        GIVEN,
        /** The VM is not ready, so it knows no more than the one that asks. */
        NOT_READY,
        /**
         * The VM has not read the kind from the store; copies of copies would have no age limit.
         */
        NOT_READ,
        /** The kind was read too long before the store became unavailable. */
        OUTDATED,
        /** Another large copy occupies the VM's link. */
        BUSY
    }

    /**
     * Longest time between the last response about a kind and the loss of the store; milliseconds.
     * The longest watch takes 30 s and its timeout of 0.8 s, up to 3.3 s after the list: a VM whose
     * watches work is never beyond it.
     */
    static final long MAX_UNCONFIRMED_MILLIS = 35_000;

    private CopyTerms() {}

    /**
     * Decides whether a copy of a kind is given.
     *
     * @param ready whether the VM that is asked is ready
     * @param confirmedMillis when the store last responded about the kind, empty if it never did
     * @param unavailableMillis when the store became unavailable to the VM, on the same clock
     * @param linkBusy whether the VM's link is occupied by another copy
     * @return the decision
     */
    public static Answer answer(
            final boolean ready,
            final OptionalLong confirmedMillis,
            final long unavailableMillis,
            final boolean linkBusy) {
        if (!ready) {
            return Answer.NOT_READY;
        }
        if (confirmedMillis.isEmpty()) {
            return Answer.NOT_READ;
        }
        if (unavailableMillis - confirmedMillis.getAsLong() > MAX_UNCONFIRMED_MILLIS) {
            return Answer.OUTDATED;
        }
        return linkBusy ? Answer.BUSY : Answer.GIVEN;
    }

    /**
     * Returns the position up to which a VM's rollout orders concern its backend servers.
     *
     * <p>Entries of backend servers are renewed all the time, orders are not. A VM uses an entry
     * only if it has read the orders up to the entry's position, so with the position of the orders
     * alone a VM that starts from copies would use none of the entries renewed since.
     *
     * @param orders the position up to which the orders were read
     * @param servers the position up to which the backend servers were read
     * @param versionsKnown whether the VM uses, or has orders for, the versions of all its backend
     *     servers, so that no unread order concerns them
     * @return the position to give with a copy of the orders
     */
    public static Position ordersPosition(
            final Position orders, final Position servers, final boolean versionsKnown) {
        Objects.requireNonNull(orders, "orders is null");
        final boolean sameEra = orders.era() == servers.era();
        return versionsKnown && sameEra && servers.isAfter(orders) ? servers : orders;
    }

    /**
     * Returns whether a copy replaces what a VM has of a kind.
     *
     * @param held the position of what it has, {@link Position#NONE} if it has nothing
     * @param fromStore whether that was read from the store
     * @param offered the position of the copy
     * @return true if nothing was read from the store and the copy is the later one
     */
    public static boolean replaces(
            final Position held, final boolean fromStore, final Position offered) {
        return !fromStore && offered.isAfter(held);
    }
}
