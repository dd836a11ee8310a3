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

    /** The finalizer of MurmurHash3: each bit of the input changes each bit of the result. */
    private static final long FIRST_FACTOR = 0xff51afd7ed558ccdL;

    private static final long SECOND_FACTOR = 0xc4ceb9fe1a85ec53L;
    private static final int HALF_BITS = 33;

    /** Keeps key and name apart: of two equal hashes nothing would be left. */
    private static final long GOLDEN_RATIO = 0x9e3779b97f4a7c15L;

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
     * Returns the weight of a name for a key by their hashes. Where one key is weighed against many
     * names, each name is read once and not once for each key.
     *
     * @param keyHash the hash of the key
     * @param nameHash the hash of the name
     * @return the weight, uniform over all longs
     */
    public static long weight(final long keyHash, final long nameHash) {
        long mixed = keyHash ^ (nameHash * GOLDEN_RATIO);
        mixed = (mixed ^ (mixed >>> HALF_BITS)) * FIRST_FACTOR;
        mixed = (mixed ^ (mixed >>> HALF_BITS)) * SECOND_FACTOR;
        return mixed ^ (mixed >>> HALF_BITS);
    }

    private static Comparator<VmId> order(final String duty) {
        return Comparator.<VmId>comparingLong(vm -> weight(duty, vm.value()))
                .thenComparing(Comparator.naturalOrder());
    }
}
