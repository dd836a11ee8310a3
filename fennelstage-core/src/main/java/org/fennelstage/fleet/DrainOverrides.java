package org.fennelstage.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.time.MonotonicClock;

/**
 * Overrides entries of the store that show a draining or removed backend server as ready.
 *
 * <p>A store that was restored from an older copy may list a backend server as ready that has since
 * drained or stopped. For {@link #OVERRIDE_MILLIS} after the restore such an entry is treated as
 * draining. By then an entry that is not renewed has expired, so one that is still listed belongs
 * to a running server.
 *
 * <p>A backend server also reports in its responses that it is draining. That report overrides all
 * entries of the same incarnation permanently, since the entry may be updated late, for example
 * while the store is unavailable.
 *
 * <p>Invariant: all other entries are returned unchanged. Not thread-safe.
 */
final class DrainOverrides {

    /**
     * How long after a restore its entries may be outdated; milliseconds. Covers three missed
     * renewals of an entry, 3.6 s at the usual interval, and the time to reconnect to the store.
     */
    static final long OVERRIDE_MILLIS = 6_000;

    private final MonotonicClock clock;
    private final Map<BackendServerId, Incarnation> drainedOrRemoved = RecentServers.empty();
    private final Map<BackendServerId, Incarnation> reportedDraining = RecentServers.empty();

    /** Entries from the store that are currently treated as draining after a restore. */
    private final Map<BackendServerId, ServerEntry> overridden = new HashMap<>();

    private long overrideUntilMillis = Long.MIN_VALUE;

    private DrainOverrides(final MonotonicClock clock) {
        this.clock = clock;
    }

    static DrainOverrides of(final MonotonicClock clock) {
        return new DrainOverrides(Objects.requireNonNull(clock, "clock is null"));
    }

    /** Records that a backend server was removed. */
    void onRemoved(final Incarnation incarnation) {
        drainedOrRemoved.put(incarnation.server(), incarnation);
        overridden.remove(incarnation.server());
    }

    /**
     * Records that a backend server reported in a response that it is draining.
     *
     * @return false if this was already known
     */
    boolean onDrainingReported(final Incarnation incarnation) {
        return !incarnation.equals(reportedDraining.put(incarnation.server(), incarnation));
    }

    /** Records that the store was restored from an older copy. */
    void onStoreRestored() {
        overrideUntilMillis = clock.millis() + OVERRIDE_MILLIS;
    }

    /**
     * Applies the overrides to an entry from the store.
     *
     * @param entry the entry
     * @return the entry, marked as draining if it is overridden
     */
    ServerEntry apply(final ServerEntry entry) {
        overridden.remove(entry.id());
        if (entry.incarnation().equals(reportedDraining.get(entry.id()))) {
            return entry.asDraining();
        }
        if (entry.draining()) {
            drainedOrRemoved.put(entry.id(), entry.incarnation());
            return entry;
        }
        if (!entry.incarnation().equals(drainedOrRemoved.get(entry.id()))) {
            return entry;
        }
        if (clock.millis() < overrideUntilMillis) {
            overridden.put(entry.id(), entry);
            return entry.asDraining();
        }
        drainedOrRemoved.remove(entry.id());
        return entry;
    }

    /**
     * Returns an entry whose override has ended while it is still in the store.
     *
     * @return the entry, empty if there is none or the override period is not over
     */
    Optional<ServerEntry> endedOverride() {
        if (overridden.isEmpty() || clock.millis() < overrideUntilMillis) {
            return Optional.empty();
        }
        return Optional.of(overridden.values().iterator().next());
    }

    @Override
    public String toString() {
        return "DrainOverrides["
                + drainedOrRemoved.size()
                + ", overridden="
                + overridden.size()
                + "]";
    }
}
