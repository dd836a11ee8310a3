package org.fennelstage.backend;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

/**
 * Leaves a worker out for a while after it could not be reached several times in a row.
 *
 * <p>Only failures of the connection count. Failures of an answer are evidence against the version
 * and not against the worker: counted here, a bad version would take all its workers out of use,
 * and with them the good versions that they also serve.
 *
 * <p>Invariant: while open, exactly one request per pause is let through to try. Thread-safe.
 */
public final class Breaker {

    private static final int FAILURES_TO_OPEN = 2;
    private static final Duration PAUSE = Duration.ofSeconds(2);

    private final InstantSource clock;
    private int failures;
    private long openUntilMillis;

    private Breaker(final InstantSource clock) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Returns a closed breaker.
     *
     * @param clock the clock
     * @return the breaker
     */
    public static Breaker of(final InstantSource clock) {
        return new Breaker(clock);
    }

    /**
     * Tells whether the worker may be chosen.
     *
     * @return false while left out
     */
    public synchronized boolean isClosed() {
        return failures < FAILURES_TO_OPEN || clock.millis() >= openUntilMillis;
    }

    /**
     * Notes that the worker could not be reached.
     *
     * @return true if it is left out from now on
     */
    public synchronized boolean onFailure() {
        failures++;
        if (failures < FAILURES_TO_OPEN) {
            return false;
        }
        openUntilMillis = clock.millis() + PAUSE.toMillis();
        return failures == FAILURES_TO_OPEN;
    }

    /**
     * Notes that a request is about to be sent. An open breaker whose pause is over lets this one
     * through and no other until it ends.
     */
    public synchronized void onAttempt() {
        if (failures >= FAILURES_TO_OPEN) {
            openUntilMillis = clock.millis() + PAUSE.toMillis();
        }
    }

    /**
     * Notes that the worker answered.
     *
     * @return true if it had been left out
     */
    public synchronized boolean onSuccess() {
        final boolean wasOpen = failures >= FAILURES_TO_OPEN;
        failures = 0;
        return wasOpen;
    }
}
