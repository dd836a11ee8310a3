package org.fennelstage.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.agrona.collections.Object2IntHashMap;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;

/**
 * How many requests the VMs of a data centre have at backend servers, as the one VM knows that
 * keeps the count of a server.
 *
 * <p>Each VM states its own count with every message, so a lost message or a new keeper is made
 * good by the next one. The count is advice: a server that is over its slots queues, so a wrong
 * count costs time and nothing else. Thread-safe; one monitor guards the table.
 */
public final class SlotLedger {

    private static final int NOTHING = 0;

    private final Map<BackendServerId, Object2IntHashMap<VmId>> counts = new HashMap<>();

    private SlotLedger() {}

    /**
     * The answer to a reservation.
     *
     * @param granted whether the request is counted
     * @param running how many requests the server has, the new one left out
     */
    public record Reservation(boolean granted, int running) {}

    /**
     * Returns a ledger without counts.
     *
     * @return the ledger
     */
    public static SlotLedger empty() {
        return new SlotLedger();
    }

    /**
     * Counts one more request of a VM at a server if a slot is free.
     *
     * @param server the server
     * @param slots how many requests it runs at once
     * @param vm the VM
     * @param own how many requests the VM already has there
     * @param force whether to count it even if no slot is free
     * @return whether it is counted
     */
    public synchronized Reservation reserve(
            final BackendServerId server,
            final int slots,
            final VmId vm,
            final int own,
            final boolean force) {
        set(server, vm, own);
        final int running = running(server);
        final boolean granted = force || running < slots;
        if (granted) {
            set(server, vm, own + 1);
        }
        return new Reservation(granted, running);
    }

    /**
     * Replaces the count of a VM at a server.
     *
     * @param server the server
     * @param vm the VM
     * @param own how many requests it has there
     */
    public synchronized void set(final BackendServerId server, final VmId vm, final int own) {
        Objects.requireNonNull(server, "server is null");
        Objects.requireNonNull(vm, "vm is null");
        if (own > 0) {
            counts.computeIfAbsent(server, s -> new Object2IntHashMap<>(NOTHING)).put(vm, own);
            return;
        }
        final Object2IntHashMap<VmId> byVm = counts.get(server);
        if (byVm != null) {
            byVm.removeKey(vm);
            if (byVm.isEmpty()) {
                counts.remove(server);
            }
        }
    }

    /**
     * Drops all counts of a VM. Without this the requests of a dead VM would fill its servers'
     * slots for ever, and these servers would get less and less work.
     *
     * @param vm the VM
     */
    public synchronized void forget(final VmId vm) {
        counts.values().forEach(byVm -> byVm.removeKey(vm));
        counts.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns how many requests a server has.
     *
     * @param server the server
     * @return the sum over all VMs
     */
    public synchronized int running(final BackendServerId server) {
        final Object2IntHashMap<VmId> byVm = counts.get(server);
        if (byVm == null) {
            return NOTHING;
        }
        int sum = NOTHING;
        final Object2IntHashMap<VmId>.ValueIterator own = byVm.values().iterator();
        while (own.hasNext()) {
            sum += own.nextInt();
        }
        return sum;
    }
}
