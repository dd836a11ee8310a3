package org.fennelstage.vm;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.id.VmId;
import org.fennelstage.time.MonotonicClock;

/**
 * The VMs that did not respond in time and are skipped for a while, each time for longer.
 *
 * <p>Invariant: a VM that responds is skipped for the shortest time again. Not thread-safe.
 */
final class UnresponsiveVms {

    /** Time for which an unresponsive VM is skipped at first; milliseconds. */
    static final long FIRST_BACKOFF_MILLIS = 5_000;

    /** Maximum doublings of that time; reached for a VM that has stopped. */
    private static final int MAX_DOUBLINGS = 4;

    private final MonotonicClock clock;
    private final Map<VmId, Long> skippedUntilMillis = new HashMap<>();
    private final Map<VmId, Integer> timeouts = new HashMap<>();

    UnresponsiveVms(final MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /** Records that a VM did not respond in time. */
    void onTimeout(final VmId vm) {
        final int earlier = timeouts.merge(vm, 1, Integer::sum) - 1;
        final long backoff = FIRST_BACKOFF_MILLIS << Math.min(earlier, MAX_DOUBLINGS);
        skippedUntilMillis.put(vm, clock.millis() + backoff);
    }

    /** Records that a VM responded. */
    void onResponse(final VmId vm) {
        timeouts.remove(vm);
    }

    /** Returns whether a VM is skipped now. */
    boolean isSkipped(final VmId vm) {
        final long now = clock.millis();
        skippedUntilMillis.values().removeIf(until -> until <= now);
        return skippedUntilMillis.containsKey(vm);
    }
}
