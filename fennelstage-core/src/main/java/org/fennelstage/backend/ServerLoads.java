package org.fennelstage.backend;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.List;

/**
 * The load of the backend servers from which one is selected.
 *
 * <p>Reused for all selections so that a selection allocates nothing. Not thread-safe.
 */
public final class ServerLoads {

    private final long[] hashes;
    private final int[] slots;
    private final int[] load;
    private final boolean[] excluded;
    private long[] affinityBuffer = new long[0];

    private ServerLoads(final long[] hashes, final int[] slots) {
        this.hashes = hashes;
        this.slots = slots;
        this.load = new int[slots.length];
        this.excluded = new boolean[slots.length];
    }

    /**
     * Returns the loads of these backend servers, all idle.
     *
     * @param servers the backend servers
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

    /** Returns a buffer for at least {@code count} affinities, which all calls share. */
    long[] affinityBuffer(final int count) {
        if (affinityBuffer.length < count) {
            affinityBuffer = new long[count];
        }
        return affinityBuffer;
    }

    public int size() {
        return slots.length;
    }

    /**
     * Sets the load of one backend server.
     *
     * @param index the server's index
     * @param running how many requests it runs or queues
     * @param isExcluded whether it must not be selected
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
     * Returns a backend server's load relative to its slots.
     *
     * @param index the server's index
     * @return the utilisation; 1 if all slots are in use, more if requests queue
     */
    public double utilisation(final int index) {
        return (double) load[index] / slots[index];
    }

    /**
     * Returns a backend server's affinity to a prompt prefix, by rendezvous hashing. The server
     * with the highest affinity most likely has the prefix in its prompt cache.
     *
     * @param index the server's index
     * @param prefix the hash of the prefix
     * @return the affinity, uniformly distributed over all longs
     */
    public long affinity(final int index, final long prefix) {
        long mixed = hashes[index] ^ prefix;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
