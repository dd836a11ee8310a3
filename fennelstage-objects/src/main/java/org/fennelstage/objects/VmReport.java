package org.fennelstage.objects;

import java.util.Map;
import org.fennelstage.id.VmId;

/**
 * What the VMs of a data centre have in force, as kept in the object API for operators. Immutable
 * and thread-safe.
 *
 * @param atMillis when it was written; milliseconds since the epoch
 * @param vms the states by VM
 */
public record VmReport(long atMillis, Map<VmId, VmState> vms) {

    public VmReport {
        vms = Map.copyOf(vms);
    }

    /**
     * The state of one VM.
     *
     * @param revision the highest configuration revision in force
     * @param hash the hash of the configuration
     * @param incarnation the VM's start, or later
     * @param ready whether it takes callers
     * @param state what its data centre believes of it
     */
    public record VmState(
            long revision, String hash, long incarnation, boolean ready, String state) {}
}
