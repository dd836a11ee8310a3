package org.fennelstage.control;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fennelstage.bill.Bill;
import org.fennelstage.bill.BillSegment;
import org.fennelstage.configuration.ObjectKey;
import org.fennelstage.configuration.Revision;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.objects.CallPriority;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.Keys;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.objects.WriteResult;

/**
 * Appends bills to segments that only this incarnation of this VM writes, so that VMs do not
 * compete for objects.
 *
 * <p>Invariant: at most one append is in progress. After a write with an unknown result the segment
 * is written again with the same expected revision; a conflict then means that the earlier write
 * took effect, since there is no other writer. Not thread-safe; the next append happens after the
 * future of the previous one completes.
 */
final class BillWriter {

    private final ObjectStore store;
    private final DataCentreId dataCentre;
    private final VmId vm;
    private final long incarnation;
    private long number;
    private BillSegment segment = BillSegment.empty();
    private Revision revision = Revision.NONE;

    BillWriter(
            final ObjectStore store,
            final DataCentreId dataCentre,
            final VmId vm,
            final long incarnation) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre is null");
        this.vm = Objects.requireNonNull(vm, "vm is null");
        this.incarnation = incarnation;
    }

    /** Returns the maximum number of bills of the next append. */
    int remainingCapacity() {
        return Math.max(1, BillSegment.CAPACITY - segment.bills().size());
    }

    CompletableFuture<Boolean> append(final List<Bill> bills) {
        final BillSegment next = segment.plus(bills);
        return store.write(key(), revision, Json.write(next), CallPriority.NORMAL)
                .thenApply(result -> onWritten(result, next));
    }

    private boolean onWritten(final WriteResult result, final BillSegment next) {
        if (result instanceof WriteResult.Written written) {
            segment = next;
            revision = written.revision();
            if (segment.isFull()) {
                number++;
                segment = BillSegment.empty();
                revision = Revision.NONE;
            }
            return true;
        }
        if (result instanceof WriteResult.Conflict conflict) {
            // An earlier write took effect although its result was unknown. The caller still holds
            // its bills, and the next append includes them again.
            revision = conflict.current().revision();
        }
        return false;
    }

    private ObjectKey key() {
        return Keys.bills(dataCentre, vm, incarnation, number);
    }
}
