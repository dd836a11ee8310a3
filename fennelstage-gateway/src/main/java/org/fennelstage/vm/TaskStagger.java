package org.fennelstage.vm;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;
import org.fennelstage.time.MonotonicClock;

/**
 * Staggers the VMs at a task that is due at all of them at the same time, since one write to the
 * store is enough and each costs a call.
 *
 * <p>Invariant: the VM of rank 0 may act at once; each further rank waits {@link #STAGGER_MILLIS}
 * longer, by which time it has received the result if a VM before it acted. Not thread-safe;
 * confined to the event loop.
 *
 * @param <T> identifies a task
 */
final class TaskStagger<T> {

    /** Time for a write to reach the watches of the other VMs; milliseconds. */
    private static final long STAGGER_MILLIS = 100;

    private final ToIntFunction<String> rankFor;
    private final int maxRank;
    private final MonotonicClock clock;
    private final Map<T, Long> dueSinceMillis = new HashMap<>();

    /**
     * Creates a stagger with no task due.
     *
     * @param rankFor returns the number of VMs before this one at a task
     * @param maxRank the rank from which on the delay no longer grows
     * @param clock the clock
     */
    TaskStagger(
            final ToIntFunction<String> rankFor, final int maxRank, final MonotonicClock clock) {
        this.maxRank = maxRank;
        this.rankFor = Objects.requireNonNull(rankFor, "rankFor is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Returns whether this VM may perform a task now.
     *
     * @param task the task, due since the first call
     * @param name the name by which all VMs rank themselves for it
     */
    boolean mayAct(final T task, final String name) {
        final long since = dueSinceMillis.computeIfAbsent(task, t -> clock.millis());
        final int rank = Math.min(maxRank, rankFor.applyAsInt(name));
        return clock.millis() - since >= rank * STAGGER_MILLIS;
    }

    /** Removes a task that is no longer due. */
    void clear(final T task) {
        dueSinceMillis.remove(task);
    }
}
