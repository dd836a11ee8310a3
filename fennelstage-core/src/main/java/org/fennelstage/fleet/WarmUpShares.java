package org.fennelstage.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;
import org.fennelstage.member.Rendezvous;

/**
 * How many of the requests that a cold worker stands this VM may send it.
 *
 * <p>A worker that has just come back is empty, and each VM that places by load would turn to it at
 * once: together they send many times what it stands, and it crashes. The VMs do not know of one
 * another's sends in time, so each has a fixed share: the requests of a second divided by the VMs,
 * and one more for as many VMs as the division leaves over. Which VMs these are follows from the
 * names of worker and VMs, so that all agree without a message, and each worker is warmed by
 * others.
 *
 * <p>Laws: the shares of all VMs that know the same VMs add up to what the worker stands; a VM that
 * does not know the fleet has none. Not thread-safe.
 *
 * <pre>{@code
 * // 90 VMs before a worker that stands 17 requests a second: 17 of them have a share of 1
 * shares.of(worker, 17)  // 0 or 1
 * }</pre>
 */
public final class WarmUpShares {

    private final Set<VmId> others = new HashSet<>();
    private final Map<BackendServerId, Integer> ranks = new HashMap<>();
    private Optional<VmId> own = Optional.empty();

    private WarmUpShares() {}

    /**
     * Returns the shares of a VM that does not know the fleet yet.
     *
     * @return the shares
     */
    public static WarmUpShares empty() {
        return new WarmUpShares();
    }

    /**
     * Takes the VMs there are.
     *
     * @param ownVm this VM
     * @param otherVms all others
     */
    public void onVms(final VmId ownVm, final Set<VmId> otherVms) {
        if (own.equals(Optional.of(ownVm)) && otherVms.equals(others)) {
            return;
        }
        own = Optional.of(ownVm);
        others.clear();
        others.addAll(otherVms);
        ranks.clear();
    }

    /**
     * Returns this VM's share.
     *
     * @param worker the worker
     * @param requests how many requests it stands from all VMs together
     * @return this VM's part of them, 0 if it has none
     */
    public int of(final BackendServerId worker, final int requests) {
        if (own.isEmpty()) {
            return 0;
        }
        final int vms = others.size() + 1;
        final int leftOver = requests % vms;
        final int rank = ranks.computeIfAbsent(worker, w -> rank(w, own.get()));
        return requests / vms + (rank < leftOver ? 1 : 0);
    }

    /** Returns how many VMs come before this one at a worker. */
    private int rank(final BackendServerId worker, final VmId ownVm) {
        final long ownWeight = weight(worker, ownVm);
        return (int) others.stream().filter(vm -> weight(worker, vm) > ownWeight).count();
    }

    private static long weight(final BackendServerId worker, final VmId vm) {
        return Rendezvous.weight(worker.value(), vm.value());
    }
}
