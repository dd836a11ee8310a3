package org.fennelstage.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.id.RolloutId;

/**
 * The rollouts that were halted because their new version is bad.
 *
 * <p>A halt is never revoked: trying again takes a new rollout with a new id. Halts can therefore
 * spread between VMs in any order, also while the store is unavailable.
 *
 * <p>Invariant: merging is commutative, associative and idempotent. Thread-safe; one monitor guards
 * all state.
 */
public final class HaltTable {

    private final Map<RolloutId, Signal> halts = new HashMap<>();
    private long hash;

    private HaltTable() {}

    /**
     * Returns a table without halts.
     *
     * @return the table
     */
    public static HaltTable empty() {
        return new HaltTable();
    }

    /**
     * Adds a halted rollout.
     *
     * @param rollout the rollout
     * @param signal the signal on which its new version is bad
     * @return true if the rollout was not in the table
     */
    public synchronized boolean add(final RolloutId rollout, final Signal signal) {
        if (halts.putIfAbsent(rollout, signal) != null) {
            return false;
        }
        hash += Hashing.komihash5_0().hashStream().putString(rollout.value()).getAsLong();
        return true;
    }

    /**
     * Returns the signal on which the new version of a rollout is bad.
     *
     * @param rollout the rollout
     * @return the signal, empty if not halted
     */
    public synchronized Optional<Signal> find(final RolloutId rollout) {
        return Optional.ofNullable(halts.get(rollout));
    }

    /**
     * Returns all halts.
     *
     * @return a copy
     */
    public synchronized Map<RolloutId, Signal> all() {
        return Map.copyOf(halts);
    }

    /**
     * Returns a hash of the table; equal tables have equal hashes.
     *
     * @return the hash, 0 for an empty table
     */
    public synchronized long hash() {
        return hash;
    }
}
