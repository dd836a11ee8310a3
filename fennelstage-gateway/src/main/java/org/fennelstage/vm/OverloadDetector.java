package org.fennelstage.vm;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Supplier;
import org.fennelstage.time.MonotonicClock;

/**
 * Detects that the event loop has more to do than it completes: new connections have been waiting
 * for some time, or a periodic task runs late again and again.
 *
 * <p>Invariant: a single late run, as after a pause of the process, is no overload. Not
 * thread-safe; confined to the event loop.
 */
final class OverloadDetector {

    /**
     * Time for which connections may wait, or the task may be late. Exceeds the time for which a VM
     * without processor quota stands still in each tenth of a second.
     */
    static final Duration MAX_DELAY = Duration.ofMillis(250);

    /** Number of late runs in a row that are an overload. */
    private static final int MIN_LATE_RUNS = 2;

    private final Duration period;
    private final Supplier<Duration> acceptDelay;
    private final MonotonicClock clock;
    private long lastRunMillis;
    private int lateRuns;
    private boolean wasOverloaded;

    /**
     * Creates a detector.
     *
     * @param period how often {@link #onPeriodicTask} is to be called
     * @param acceptDelay for how long new connections have been waiting to be accepted
     * @param clock the clock
     */
    OverloadDetector(
            final Duration period,
            final Supplier<Duration> acceptDelay,
            final MonotonicClock clock) {
        this.period = Objects.requireNonNull(period, "period is null");
        this.acceptDelay = Objects.requireNonNull(acceptDelay, "acceptDelay is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.lastRunMillis = clock.millis();
    }

    /**
     * Records that the periodic task runs.
     *
     * @return true if the VM became overloaded, or ceased to be, since the last run
     */
    boolean onPeriodicTask() {
        final long late = clock.millis() - lastRunMillis - period.toMillis();
        lastRunMillis = clock.millis();
        lateRuns = late >= MAX_DELAY.toMillis() ? lateRuns + 1 : 0;
        final boolean before = wasOverloaded;
        wasOverloaded = isOverloaded();
        return wasOverloaded != before;
    }

    /** Returns whether new work should go to other VMs. */
    boolean isOverloaded() {
        return lateRuns >= MIN_LATE_RUNS || acceptDelay.get().compareTo(MAX_DELAY) >= 0;
    }
}
