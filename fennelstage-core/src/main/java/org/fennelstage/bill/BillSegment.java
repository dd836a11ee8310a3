package org.fennelstage.bill;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fennelstage.id.RequestId;

/**
 * The bills that are stored in one object of the store.
 *
 * <p>Invariants: adding is idempotent; adding keeps one bill per request id. The writer starts a
 * new segment when this one is full. Immutable and thread-safe.
 *
 * @param bills the bills, one per request
 */
public record BillSegment(List<Bill> bills) {

    /** The number of bills of a full segment; keeps the stored object at about 100 KB. */
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
     * Returns this segment with further bills, without those of requests it already contains.
     *
     * @param added the bills to add
     * @return the resulting segment
     */
    public BillSegment plus(final Collection<Bill> added) {
        final Map<RequestId, Bill> all = new LinkedHashMap<>();
        bills.forEach(b -> all.put(b.request(), b));
        added.forEach(b -> all.putIfAbsent(b.request(), b));
        return new BillSegment(List.copyOf(all.values()));
    }

    /**
     * Returns whether the segment has reached its capacity.
     *
     * @return true at or above {@link #CAPACITY}
     */
    public boolean isFull() {
        return bills.size() >= CAPACITY;
    }
}
