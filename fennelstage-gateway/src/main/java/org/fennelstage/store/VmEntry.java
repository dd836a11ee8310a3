package org.fennelstage.store;

import java.util.Objects;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;

/**
 * A VM of this system, as it entered itself into the store. Immutable and thread-safe.
 *
 * @param vm its id
 * @param dataCentre where it stands
 * @param address where it listens to other VMs
 */
public record VmEntry(VmId vm, DataCentreId dataCentre, ServerAddress address) {

    public VmEntry {
        Objects.requireNonNull(vm, "vm is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(address, "address is null");
    }
}
