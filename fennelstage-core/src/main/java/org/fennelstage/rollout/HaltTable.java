package org.fennelstage.rollout;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fennelstage.id.RolloutId;

/**
 * The roll-outs whose candidate was found bad. Such a fact is never taken back: a new attempt is a
 * new roll-out with a new id. So it may spread from VM to VM in any order, also while the platform
 * is down.
 *
 * <p>Law: merging is commutative, associative and idempotent. Thread-safe; one monitor guards it.
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
     * Notes that a candidate was found bad.
     *
     * @param rollout the roll-out
     * @param signal on which signal
     * @return true if this was not known
     */
    public synchronized boolean add(final RolloutId rollout, final Signal signal) {
        if (halts.putIfAbsent(rollout, signal) != null) {
            return false;
        }
        hash += Hashing.komihash5_0().hashStream().putString(rollout.value()).getAsLong();
        return true;
    }

    /**
     * Returns the signal on which a candidate was found bad.
     *
     * @param rollout the roll-out
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
     * Returns a summary: equal tables have equal hashes.
     *
     * @return the hash, 0 for an empty table
     */
    public synchronized long hash() {
        return hash;
    }
}
