package org.fennelstage.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * How many requests per second a backend server accepts from all VMs together.
 *
 * <p>Invariant: the rate is finite and not negative. Immutable and thread-safe.
 *
 * <pre>{@code
 * new RateLimit(3.1).requestsIn(Duration.ofSeconds(4))  // 12
 * }</pre>
 *
 * @param requestsPerSecond the rate
 */
public record RateLimit(double requestsPerSecond) {

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Creates a limit.
     *
     * @throws IllegalArgumentException if the rate is negative or not finite
     */
    public RateLimit {
        if (!isValid(requestsPerSecond)) {
            throw new IllegalArgumentException("no rate: " + requestsPerSecond);
        }
    }

    /**
     * Returns a limit, if the rate is a valid one.
     *
     * @param requestsPerSecond the rate
     * @return the limit, empty if the rate is negative or not finite
     */
    public static Optional<RateLimit> of(final double requestsPerSecond) {
        return isValid(requestsPerSecond)
                ? Optional.of(new RateLimit(requestsPerSecond))
                : Optional.empty();
    }

    private static boolean isValid(final double requestsPerSecond) {
        return Double.isFinite(requestsPerSecond) && requestsPerSecond >= 0;
    }

    /**
     * Returns how many requests all VMs together may send within a window.
     *
     * @param window the length of the window
     * @return the count, at least 1, since without any request no VM would learn that the limit has
     *     ended
     */
    public int requestsIn(final Duration window) {
        final double requests = requestsPerSecond * window.toMillis() / MILLIS_PER_SECOND;
        return (int) Math.max(1, requests);
    }
}
