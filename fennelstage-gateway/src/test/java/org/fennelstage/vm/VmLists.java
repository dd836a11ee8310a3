package org.fennelstage.vm;

import java.util.List;
import java.util.Optional;
import org.fennelstage.history.Position;
import org.fennelstage.store.Page;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.fennelstage.store.VmEntry;

/** Lists of VMs as the store returns them. Stateless and thread-safe. */
final class VmLists {

    private VmLists() {}

    /** Returns the result of a call that lists these VMs. */
    static StoreResult<Page<VmEntry>> of(final List<VmEntry> entries) {
        final List<StoredValue<VmEntry>> values = entries.stream().map(VmLists::value).toList();
        return new StoreResult.Done<>(new Page<>(values, Optional.empty(), Position.of(0, 1)));
    }

    private static StoredValue<VmEntry> value(final VmEntry entry) {
        return new StoredValue<>(
                entry.vm().value(), Position.of(0, 1), Optional.of(entry), Optional.empty());
    }
}
