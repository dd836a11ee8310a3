package org.fennelstage.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.agrona.collections.Object2IntHashMap;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;

/**
 * Counts the requests that each VM of a data centre has at each backend server. For each server,
 * one VM keeps the count.
 *
 * <p>A VM sends its complete own count with every peer message, so that the next message corrects
 * the table after a lost message or a change of the VM that keeps it. A wrong count delays requests
 * but does no other harm, since a server queues requests beyond its slots. Thread-safe; one monitor
 * guards the table.
 */
public final class SlotLedger {

    private static final int NO_REQUESTS = 0;

    private final Map<BackendServerId, Object2IntHashMap<VmId>> counts = new HashMap<>();

    private SlotLedger() {}

    /**
     * The result of a reservation.
     *
     * @param granted whether the request was counted
     * @param running how many requests the server has, without the new one
     */
    public record Reservation(boolean granted, int running) {}

    /**
     * Returns an empty ledger.
     *
     * @return the ledger
     */
    public static SlotLedger empty() {
        return new SlotLedger();
    }

    /**
     * Counts one more request of a VM at a backend server if a slot is free.
     *
     * @param server the backend server
     * @param slots how many requests it runs concurrently
     * @param vm the VM
     * @param own how many requests the VM already has there
     * @param force whether to count the request even if no slot is free
     * @return whether the request was counted
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
     * Replaces the count of a VM at a backend server.
     *
     * @param server the backend server
     * @param vm the VM
     * @param own how many requests the VM has there
     */
    public synchronized void set(final BackendServerId server, final VmId vm, final int own) {
        Objects.requireNonNull(server, "server is null");
        Objects.requireNonNull(vm, "vm is null");
        if (own > 0) {
            counts.computeIfAbsent(server, s -> new Object2IntHashMap<>(NO_REQUESTS)).put(vm, own);
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
     * Removes all counts of a VM that has stopped; its requests would otherwise occupy slots
     * forever.
     *
     * @param vm the VM
     */
    public synchronized void forget(final VmId vm) {
        counts.values().forEach(byVm -> byVm.removeKey(vm));
        counts.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns how many requests a backend server has.
     *
     * @param server the backend server
     * @return the sum over all VMs
     */
    public synchronized int running(final BackendServerId server) {
        final Object2IntHashMap<VmId> byVm = counts.get(server);
        if (byVm == null) {
            return NO_REQUESTS;
        }
        int sum = NO_REQUESTS;
        final Object2IntHashMap<VmId>.ValueIterator own = byVm.values().iterator();
        while (own.hasNext()) {
            sum += own.nextInt();
        }
        return sum;
    }
}
