package org.fennelstage.vm;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * Reports in the log that lines are missing from it, since its reader was too slow.
 *
 * <p>Invariant: one line a second at most. Not thread-safe; confined to the event loop.
 */
final class DroppedLinesReport {

    private static final long PERIOD_MILLIS = 1_000;

    private final LongSupplier dropped;
    private final MonotonicClock clock;
    private long reported;
    private long dueMillis;

    /**
     * Creates a report.
     *
     * @param dropped supplies the number of lines dropped since the start
     * @param clock the clock
     */
    DroppedLinesReport(final LongSupplier dropped, final MonotonicClock clock) {
        this.dropped = Objects.requireNonNull(dropped, "dropped is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.dueMillis = clock.millis();
    }

    /**
     * Writes a line if others were dropped since the last one. To be called several times a second.
     *
     * @return whether it wrote a line
     */
    boolean writeDue() {
        final long total = dropped.getAsLong();
        if (total == reported || clock.millis() < dueMillis) {
            return false;
        }
        EventLog.write(Event.LOG_LINES_DROPPED, "lines", total - reported, "since_start", total);
        reported = total;
        dueMillis = clock.millis() + PERIOD_MILLIS;
        return true;
    }
}
