package org.fennelstage.vm;

import java.time.Duration;
import java.util.Objects;
import org.fennelstage.http.EventLoopPause;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.ListeningClock;
import org.fennelstage.time.MonotonicClock;

/**
 * Notices when the event loop has not run for a while: the process was suspended, or had no
 * processor.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class PauseMonitor {

    private final MonotonicClock clock;
    private final ListeningClock listening;

    /**
     * When the periodic tasks were due the last time before the last pause, and the first after.
     */
    private long beforePauseMillis;

    private long afterPauseMillis;
    private long periodMillis;

    private PauseMonitor(final MonotonicClock clock, final ListeningClock listening) {
        this.clock = clock;
        this.listening = listening;
        this.periodMillis = clock.millis();
        this.beforePauseMillis = periodMillis;
        // So long ago that no signal is taken for one sent in a pause.
        this.afterPauseMillis = periodMillis - EventLoopPause.MIN_DELAY.toMillis();
    }

    /**
     * Returns a monitor that has seen no pause.
     *
     * @param clock the clock
     * @return the monitor
     */
    static PauseMonitor of(final MonotonicClock clock) {
        Objects.requireNonNull(clock, "clock is null");
        return new PauseMonitor(clock, ListeningClock.of(clock, EventLoopPause.MIN_DELAY));
    }

    /** Returns the clock that leaves out pauses. */
    MonotonicClock listening() {
        return listening;
    }

    /** Returns the time for which the process has been paused; seconds. */
    double pausedSeconds() {
        return listening.missed().toNanos() / 1e9;
    }

    /** Returns whether a task runs so late that the event loop was paused when it was due. */
    boolean isLate(final long dueMillis) {
        return clock.millis() - dueMillis >= EventLoopPause.MIN_DELAY.toMillis();
    }

    /**
     * Returns when a signal that is handled now was sent at the earliest: one that arrives in a
     * pause is handled after it.
     *
     * @return the time by the clock; milliseconds
     */
    long earliestSignalMillis() {
        final long now = clock.millis();
        if (isLate(periodMillis)) {
            return periodMillis;
        }
        final boolean justPaused = now - afterPauseMillis < EventLoopPause.MIN_DELAY.toMillis();
        return justPaused ? beforePauseMillis : now;
    }

    /**
     * Records that the periodic tasks are due.
     *
     * @param inFlight the number of requests whose response is not complete, for the log
     * @param logLinesDropped the number of log lines dropped so far, for the log
     * @return whether the event loop was paused before, so that what has arrived may be unread
     */
    boolean onPeriod(final int inFlight, final long logLinesDropped) {
        final Duration missed = listening.onTurn();
        final long lastPeriodMillis = periodMillis;
        periodMillis = clock.millis();
        if (missed.isZero()) {
            return false;
        }
        beforePauseMillis = lastPeriodMillis;
        afterPauseMillis = periodMillis;
        EventLog.write(
                Event.PAUSED,
                "ms",
                missed.plus(EventLoopPause.MIN_DELAY).toMillis(),
                "in_flight",
                inFlight,
                "log_lines_dropped",
                logLinesDropped);
        return true;
    }
}
