package org.fennelstage.backend;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;

/**
 * What is known of the load of the workers among which one is chosen.
 *
 * <p>Reused from choice to choice so that a choice allocates nothing. Not thread-safe.
 */
public final class ServerLoads {

    private final long[] hashes;
    private final int[] slots;
    private final int[] load;
    private final boolean[] excluded;
    private long[] ranks = new long[0];

    private ServerLoads(final long[] hashes, final int[] slots) {
        this.hashes = hashes;
        this.slots = slots;
        this.load = new int[slots.length];
        this.excluded = new boolean[slots.length];
    }

    /**
     * Returns the loads of these workers, all idle.
     *
     * @param servers the workers
     * @return the loads
     */
    public static ServerLoads of(final List<BackendServer> servers) {
        final long[] hashes = new long[servers.size()];
        final int[] slots = new int[servers.size()];
        for (int i = 0; i < hashes.length; i++) {
            final BackendServer server = servers.get(i);
            hashes[i] =
                    Hashing.komihash5_0().hashStream().putString(server.id().value()).getAsLong();
            slots[i] = server.slots();
        }
        return new ServerLoads(hashes, slots);
    }

    /** Returns room for the ranks of the best workers, the same each time. */
    long[] ranks(final int count) {
        if (ranks.length < count) {
            ranks = new long[count];
        }
        return ranks;
    }

    public int size() {
        return slots.length;
    }

    /**
     * Sets what is known of one worker.
     *
     * @param index the worker
     * @param running requests it runs or queues
     * @param isExcluded whether it may not be chosen
     */
    public void set(final int index, final int running, final boolean isExcluded) {
        load[index] = running;
        excluded[index] = isExcluded;
    }

    public int load(final int index) {
        return load[index];
    }

    public boolean isExcluded(final int index) {
        return excluded[index];
    }

    /**
     * Returns a worker's load relative to its slots.
     *
     * @param index the worker
     * @return the load; 1 is full
     */
    public double utilisation(final int index) {
        return (double) load[index] / slots[index];
    }

    /**
     * Returns a worker's rank for a prompt prefix: the worker with the highest is the one whose
     * cache most likely holds it.
     *
     * @param index the worker
     * @param prefix the hash of the prefix
     * @return the rank, uniform over all longs
     */
    public long affinity(final int index, final long prefix) {
        long mixed = hashes[index] ^ prefix;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
