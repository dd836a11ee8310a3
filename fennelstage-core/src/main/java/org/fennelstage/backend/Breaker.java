package org.fennelstage.backend;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

/**
 * A circuit breaker for one backend server. It opens after consecutive connection failures.
 *
 * <p>Failed responses do not count: they are evidence against the model version, and a bad version
 * would exclude all its servers together with the good versions that they also serve.
 *
 * <p>Invariant: while open, one request per pause is let through as a probe. Thread-safe.
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
     * Returns whether the backend server may get a request.
     *
     * @return true if the breaker is closed, or open with its pause over
     */
    public synchronized boolean allowsRequest() {
        return failures < FAILURES_TO_OPEN || clock.millis() >= openUntilMillis;
    }

    /**
     * Records that the backend server could not be reached.
     *
     * @return true if this failure opened the breaker
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
     * Records that a request is about to be sent. If the breaker is open, this starts a new pause,
     * so that no other request is sent while this one probes the server.
     */
    public synchronized void onAttempt() {
        if (failures >= FAILURES_TO_OPEN) {
            openUntilMillis = clock.millis() + PAUSE.toMillis();
        }
    }

    /**
     * Records that the backend server responded, and closes the breaker.
     *
     * @return true if the breaker was open
     */
    public synchronized boolean onSuccess() {
        final boolean wasOpen = failures >= FAILURES_TO_OPEN;
        failures = 0;
        return wasOpen;
    }
}
