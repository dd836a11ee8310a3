package org.fennelstage.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fennelstage.id.VmId;

/**
 * Assigns duties to VMs by highest random weight: all who know the same VMs choose the same one,
 * and a VM that goes or comes moves only its own duties. Stateless and thread-safe.
 */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Returns the VM that has a duty.
     *
     * @param duty names the duty
     * @param candidates the VMs
     * @return the VM, empty without candidates
     */
    public static Optional<VmId> choose(final String duty, final Collection<VmId> candidates) {
        return candidates.stream().max(order(duty));
    }

    /**
     * Returns the candidates in the order in which they take over a duty.
     *
     * @param duty names the duty
     * @param candidates the VMs
     * @return the VMs, first choice first
     */
    public static List<VmId> rank(final String duty, final Collection<VmId> candidates) {
        return candidates.stream().sorted(order(duty).reversed()).toList();
    }

    /**
     * Returns the weight of a name for a key, uniform over all longs.
     *
     * @param key the key
     * @param name the name
     * @return the weight
     */
    public static long weight(final String key, final String name) {
        return Hashing.komihash5_0().hashStream().putString(key).putString(name).getAsLong();
    }

    private static Comparator<VmId> order(final String duty) {
        return Comparator.<VmId>comparingLong(vm -> weight(duty, vm.value()))
                .thenComparing(Comparator.naturalOrder());
    }
}
