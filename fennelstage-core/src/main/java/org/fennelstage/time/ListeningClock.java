package org.fennelstage.time;

import java.time.Duration;
import java.util.Objects;

/**
 * Measures for how long this VM has been listening: a clock that leaves out the time in which the
 * process did not run.
 *
 * <p>What others send during a pause of the process lies unread in its sockets. Silence measured by
 * any other clock would be taken for a failure of all that this VM listens to.
 *
 * <p>Invariants: readings never decrease; between two turns it advances by at most the longest turn
 * that is no pause. Not thread-safe; confined to the event loop.
 */
public final class ListeningClock implements MonotonicClock {

    private final MonotonicClock clock;
    private final long maxTurnMillis;
    private long turnMillis;
    private long missedMillis;

    private ListeningClock(final MonotonicClock clock, final Duration maxTurn) {
        this.clock = clock;
        this.maxTurnMillis = maxTurn.toMillis();
        this.turnMillis = clock.millis();
    }

    /**
     * Returns a clock that starts with the reading of another.
     *
     * @param clock the clock that also counts pauses
     * @param maxTurn the longest time between two calls of {@link #onTurn} that is no pause
     * @return the clock
     */
    public static ListeningClock of(final MonotonicClock clock, final Duration maxTurn) {
        return new ListeningClock(
                Objects.requireNonNull(clock, "clock is null"),
                Objects.requireNonNull(maxTurn, "maxTurn is null"));
    }

    /**
     * Records that the process runs. To be called several times within the longest turn.
     *
     * @return the time by which this turn was too long; zero if there was no pause
     */
    public Duration onTurn() {
        final long now = clock.millis();
        final long missed = missedSinceTurn(now);
        missedMillis += missed;
        turnMillis = now;
        return Duration.ofMillis(missed);
    }

    @Override
    public long millis() {
        final long now = clock.millis();
        return now - missedMillis - missedSinceTurn(now);
    }

    /**
     * Returns the time in which the process did not run.
     *
     * @return the sum of all that {@link #onTurn} has returned
     */
    public Duration missed() {
        return Duration.ofMillis(missedMillis);
    }

    private long missedSinceTurn(final long now) {
        return Math.max(0, now - turnMillis - maxTurnMillis);
    }
}
