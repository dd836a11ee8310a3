package org.fennelstage.limit;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;

/**
 * Limits a rate with a token bucket.
 *
 * <p>Invariant: in any interval of {@code t} seconds at most {@code burst + rate * t} tokens are
 * taken. Thread-safe.
 */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1000;

    private final InstantSource clock;
    private double rate;
    private double burst;
    private double available;
    private long lastRefillMillis;

    private TokenBucket(final InstantSource clock, final double rate, final double burst) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.rate = rate;
        this.burst = burst;
        this.available = burst;
        this.lastRefillMillis = clock.millis();
    }

    /**
     * Returns a full bucket.
     *
     * @param clock the clock
     * @param rate the refill rate, in tokens per second
     * @param burst the capacity, in tokens
     * @return the bucket
     */
    public static TokenBucket of(final InstantSource clock, final double rate, final double burst) {
        return new TokenBucket(clock, rate, burst);
    }

    /**
     * Changes the refill rate and the capacity; tokens above the new capacity are discarded.
     *
     * @param newRate the refill rate, in tokens per second
     * @param newBurst the capacity, in tokens
     */
    public synchronized void resize(final double newRate, final double newBurst) {
        refill();
        rate = newRate;
        burst = newBurst;
        available = Math.min(available, newBurst);
    }

    /**
     * Takes a token if one is available.
     *
     * @return empty if a token was taken, else the time until the next is available
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
        final double elapsed = Math.max(0, now - lastRefillMillis) / MILLIS_PER_SECOND;
        available = Math.min(burst, available + elapsed * rate);
        lastRefillMillis = now;
    }
}
