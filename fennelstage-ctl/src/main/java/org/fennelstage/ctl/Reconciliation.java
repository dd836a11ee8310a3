package org.fennelstage.ctl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fennelstage.bill.Bill;
import org.fennelstage.bill.BillSegment;
import org.fennelstage.configuration.StoredObject;
import org.fennelstage.id.RequestId;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.MalformedValueException;

/**
 * Holds the stored bills against the requests that callers know to be complete. Immutable and
 * thread-safe.
 *
 * @param bills the bills, each request once
 * @param copies bills stored more than once, which count once
 * @param differing requests with two bills that are not the same
 * @param unbilled complete requests without a bill
 * @param unexpected bills of requests that callers do not know to be complete
 */
record Reconciliation(
        Map<RequestId, Bill> bills,
        int copies,
        List<RequestId> differing,
        List<RequestId> unbilled,
        List<RequestId> unexpected) {

    static Reconciliation of(final Store store, final Set<RequestId> complete)
            throws CommandException {
        final Map<RequestId, Bill> bills = new HashMap<>();
        final List<RequestId> differing = new ArrayList<>();
        int copies = 0;
        for (final StoredObject object : store.list(Keys.BILLS)) {
            for (final Bill bill : segment(object).bills()) {
                final Bill other = bills.putIfAbsent(bill.request(), bill);
                if (other != null) {
                    copies++;
                    if (!other.equals(bill)) {
                        differing.add(bill.request());
                    }
                }
            }
        }
        return new Reconciliation(
                bills,
                copies,
                differing,
                missing(complete, bills.keySet()),
                missing(bills.keySet(), complete));
    }

    private static BillSegment segment(final StoredObject object) throws CommandException {
        try {
            return object.value().isEmpty()
                    ? BillSegment.empty()
                    : Json.read(object.value().get(), BillSegment.class);
        } catch (final MalformedValueException e) {
            throw new CommandException(Exit.REFUSED, object.key() + ": " + e.getMessage());
        }
    }

    private static List<RequestId> missing(
            final Set<RequestId> wanted, final Set<RequestId> present) {
        final Set<RequestId> missing = new HashSet<>(wanted);
        missing.removeAll(present);
        return missing.stream().sorted().toList();
    }
}
