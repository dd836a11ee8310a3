package org.fennelstage.limit;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;

/**
 * Bounds a rate.
 *
 * <p>Invariant: over any time t at most {@code burst + rate * t} are admitted. Thread-safe.
 */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1000;

    private final InstantSource clock;
    private double rate;
    private double burst;
    private double available;
    private long lastMillis;

    private TokenBucket(final InstantSource clock, final double rate, final double burst) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.rate = rate;
        this.burst = burst;
        this.available = burst;
        this.lastMillis = clock.millis();
    }

    /**
     * Returns a full bucket.
     *
     * @param clock the clock
     * @param rate admissions per second
     * @param burst admissions at once
     * @return the bucket
     */
    public static TokenBucket of(final InstantSource clock, final double rate, final double burst) {
        return new TokenBucket(clock, rate, burst);
    }

    /**
     * Changes the bounds.
     *
     * @param newRate admissions per second
     * @param newBurst admissions at once
     */
    public synchronized void resize(final double newRate, final double newBurst) {
        refill();
        rate = newRate;
        burst = newBurst;
        available = Math.min(available, newBurst);
    }

    /**
     * Asks for one admission.
     *
     * @return empty if admitted, else when to come back
     */
    public synchronized Optional<Duration> tryTake() {
        refill();
        if (available >= 1) {
            available -= 1;
            return Optional.empty();
        }
        final double missing = 1 - available;
        return Optional.of(Duration.ofMillis((long) Math.ceil(missing / rate * MILLIS_PER_SECOND)));
    }

    private void refill() {
        final long now = clock.millis();
        final double elapsed = Math.max(0, now - lastMillis) / MILLIS_PER_SECOND;
        available = Math.min(burst, available + elapsed * rate);
        lastMillis = now;
    }
}
