package org.fennelstage.member;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fennelstage.id.VmId;

/**
 * Rendezvous hashing (highest random weight), used to assign duties to VMs and prompt parts to
 * backend servers. A duty is a task that one VM performs for its data centre.
 *
 * <p>VMs that know the same candidates choose the same one without messages, and adding or removing
 * a candidate reassigns only what is assigned to it. Stateless and thread-safe.
 */
public final class Rendezvous {

    /**
     * Constants of the finalizer of MurmurHash3, in which each input bit affects each output bit.
     */
    private static final long FIRST_FACTOR = 0xff51afd7ed558ccdL;

    private static final long SECOND_FACTOR = 0xc4ceb9fe1a85ec53L;
    private static final int SHIFT = 33;

    /** Multiplies the hash of the name, so that equal hashes of key and name do not cancel out. */
    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

    private Rendezvous() {}

    /**
     * Returns the VM to which a duty is assigned.
     *
     * @param duty the name of the duty
     * @param candidates the VMs to choose from
     * @return the VM, empty without candidates
     */
    public static Optional<VmId> choose(final String duty, final Collection<VmId> candidates) {
        return candidates.stream().max(order(duty));
    }

    /**
     * Returns the candidates in the order in which a duty is assigned to them.
     *
     * @param duty the name of the duty
     * @param candidates the VMs to choose from
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

    /**
     * Returns the hash of a name, for {@link #weight(long, long)}.
     *
     * @param name the name
     * @return the hash
     */
    public static long hash(final String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /**
     * Returns the weight of a name for a key, given their hashes. Callers that weigh many keys
     * against the same names can hash each name once.
     *
     * @param keyHash the hash of the key
     * @param nameHash the hash of the name
     * @return the weight, uniform over all longs
     */
    public static long weight(final long keyHash, final long nameHash) {
        long mixed = keyHash ^ (nameHash * GOLDEN_RATIO);
        mixed = (mixed ^ (mixed >>> SHIFT)) * FIRST_FACTOR;
        mixed = (mixed ^ (mixed >>> SHIFT)) * SECOND_FACTOR;
        return mixed ^ (mixed >>> SHIFT);
    }

    private static Comparator<VmId> order(final String duty) {
        return Comparator.<VmId>comparingLong(vm -> weight(duty, vm.value()))
                .thenComparing(Comparator.naturalOrder());
    }
}
