package org.fennelstage.objects;

import java.util.Map;
import org.fennelstage.id.VmId;

/**
 * The state of the VMs of a data centre, stored in the object store for operators. Immutable and
 * thread-safe.
 *
 * @param atMillis when the report was written; milliseconds since the epoch
 * @param vms the states by VM
 */
public record VmReport(long atMillis, Map<VmId, VmState> vms) {

    public VmReport {
        vms = Map.copyOf(vms);
    }

    /**
     * The state of one VM.
     *
     * @param revision the highest revision of the configuration in use
     * @param hash the hash of the configuration in use
     * @param incarnation the VM's incarnation; its start time or later
     * @param ready whether it accepts requests
     * @param state its membership state, as its data centre sees it
     */
    public record VmState(
            long revision, String hash, long incarnation, boolean ready, String state) {}
}
