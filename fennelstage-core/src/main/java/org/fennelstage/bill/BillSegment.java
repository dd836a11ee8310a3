package org.fennelstage.bill;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fennelstage.id.RequestId;

/**
 * The bills kept in one object of the object API: a set keyed by request id with a bound.
 *
 * <p>Laws: adding is idempotent; a full segment takes nothing more. Immutable and thread-safe.
 *
 * @param bills the bills, each request once
 */
public record BillSegment(List<Bill> bills) {

    /** Bounds the object's size to about 100 KB, so that one write stays cheap. */
    public static final int CAPACITY = 500;

    public BillSegment {
        bills = List.copyOf(bills);
    }

    /**
     * Returns a segment without bills.
     *
     * @return the segment
     */
    public static BillSegment empty() {
        return new BillSegment(List.of());
    }

    /**
     * Adds bills, ignoring those of requests already in the segment.
     *
     * @param added the bills
     * @return the larger segment
     */
    public BillSegment plus(final Collection<Bill> added) {
        final Map<RequestId, Bill> all = new LinkedHashMap<>();
        bills.forEach(b -> all.put(b.request(), b));
        added.forEach(b -> all.putIfAbsent(b.request(), b));
        return new BillSegment(List.copyOf(all.values()));
    }

    /**
     * Tells whether the segment takes no more bills.
     *
     * @return true at capacity
     */
    public boolean isFull() {
        return bills.size() >= CAPACITY;
    }
}
