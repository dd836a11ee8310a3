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
 * Compares the stored bills with the requests that callers know to be complete. Immutable and
 * thread-safe.
 *
 * @param bills one bill for each billed request
 * @param duplicates the number of further bills of the same requests
 * @param conflicting the requests whose duplicate bills differ; once for each duplicate
 * @param unbilled the complete requests without a bill
 * @param unexpected the billed requests that callers do not know to be complete
 */
record Reconciliation(
        Map<RequestId, Bill> bills,
        int duplicates,
        List<RequestId> conflicting,
        List<RequestId> unbilled,
        List<RequestId> unexpected) {

    static Reconciliation of(final BlockingStore store, final Set<RequestId> complete)
            throws CommandException {
        final Map<RequestId, Bill> bills = new HashMap<>();
        final List<RequestId> conflicting = new ArrayList<>();
        int duplicates = 0;
        for (final StoredObject object : store.list(Keys.BILLS)) {
            for (final Bill bill : readSegment(object).bills()) {
                final Bill existing = bills.putIfAbsent(bill.request(), bill);
                if (existing != null) {
                    duplicates++;
                    if (!existing.equals(bill)) {
                        conflicting.add(bill.request());
                    }
                }
            }
        }
        return new Reconciliation(
                bills,
                duplicates,
                conflicting,
                difference(complete, bills.keySet()),
                difference(bills.keySet(), complete));
    }

    private static BillSegment readSegment(final StoredObject object) throws CommandException {
        try {
            return object.value().isEmpty()
                    ? BillSegment.empty()
                    : Json.read(object.value().get(), BillSegment.class);
        } catch (final MalformedValueException e) {
            throw new CommandException(ExitCode.REFUSED, object.key() + ": " + e.getMessage());
        }
    }

    private static List<RequestId> difference(
            final Set<RequestId> requests, final Set<RequestId> excluded) {
        final Set<RequestId> remaining = new HashSet<>(requests);
        remaining.removeAll(excluded);
        return remaining.stream().sorted().toList();
    }
}
