package org.fennelstage.store;

import java.util.Objects;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;

/**
 * The entry that a VM writes for itself into the store. Immutable and thread-safe.
 *
 * @param vm its id
 * @param dataCentre the data centre it runs in
 * @param address the address on which it listens for other VMs
 */
public record VmEntry(VmId vm, DataCentreId dataCentre, ServerAddress address) {

    public VmEntry {
        Objects.requireNonNull(vm, "vm is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(address, "address is null");
    }
}
