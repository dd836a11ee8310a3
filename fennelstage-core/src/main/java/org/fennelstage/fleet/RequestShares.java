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
 * This VM's share of the requests that a backend server accepts from all VMs together in some
 * window of time, during its warm-up or while it reports a limit.
 *
 * <p>A backend server that needs relief has little load, so every VM that places requests by load
 * would select it at once, and together they would overload it. Each VM therefore has a fixed
 * share: the requests divided by the number of VMs, and one more for as many VMs as the remainder.
 * Which VMs get one more follows from rendezvous hashing of the server's and the VMs' ids, so all
 * VMs agree without messages and the load spreads over different VMs for each server.
 *
 * <p>Invariant: the shares of VMs that know the same VMs add up to the requests that the backend
 * server accepts; a VM that does not know the other VMs yet has no share. Not thread-safe.
 *
 * <pre>{@code
 * // 90 VMs and a backend server that accepts 17 requests in a window: 17 VMs have a share of 1
 * shares.of(server, 17)  // 0 or 1
 * }</pre>
 */
public final class RequestShares {

    private final Set<VmId> others = new HashSet<>();
    private final Map<BackendServerId, Integer> ranks = new HashMap<>();
    private Optional<VmId> own = Optional.empty();

    private RequestShares() {}

    /**
     * Returns the shares of a VM that does not know the other VMs yet.
     *
     * @return the shares
     */
    public static RequestShares empty() {
        return new RequestShares();
    }

    /**
     * Sets the known VMs.
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
     * @param server the backend server
     * @param requests how many requests it accepts from all VMs together in a window
     * @return this VM's part of them, 0 if it has none
     */
    public int of(final BackendServerId server, final int requests) {
        if (own.isEmpty()) {
            return 0;
        }
        final int vms = others.size() + 1;
        final int remainder = requests % vms;
        final int rank = ranks.computeIfAbsent(server, s -> rank(s, own.get()));
        return requests / vms + (rank < remainder ? 1 : 0);
    }

    /** Returns the number of VMs with a higher weight than this one for a backend server. */
    private int rank(final BackendServerId server, final VmId ownVm) {
        final long ownWeight = weight(server, ownVm);
        return (int) others.stream().filter(vm -> weight(server, vm) > ownWeight).count();
    }

    private static long weight(final BackendServerId server, final VmId vm) {
        return Rendezvous.weight(server.value(), vm.value());
    }
}
