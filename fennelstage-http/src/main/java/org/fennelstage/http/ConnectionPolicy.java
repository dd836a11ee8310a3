package org.fennelstage.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Which connections may carry a call, and what becomes of its connection. Immutable and
 * thread-safe.
 *
 * @param maxIdleTime the longest time since its last use for which a kept connection may carry the
 *     call; zero for a connection of its own
 * @param maxIdleConnections how many idle connections are kept at the address once the call has
 *     ended
 * @param firstUseDelay how long a new connection must have stood before the call goes out on it;
 *     zero to send at once
 */
public record ConnectionPolicy(
        Duration maxIdleTime, int maxIdleConnections, Duration firstUseDelay) {

    /** Longer than servers keep idle connections: any kept connection will do. */
    private static final Duration ANY_IDLE = Duration.ofHours(1);

    /** Enough for the bursts of one client, where its server has room for many. */
    private static final int DEFAULT_MOST_IDLE = 16;

    public ConnectionPolicy {
        Objects.requireNonNull(maxIdleTime, "maxIdleTime is null");
        Objects.requireNonNull(firstUseDelay, "firstUseDelay is null");
    }

    /**
     * Returns the use of any kept connection.
     *
     * @return the use
     */
    public static ConnectionPolicy pooled() {
        return new ConnectionPolicy(ANY_IDLE, DEFAULT_MOST_IDLE, Duration.ZERO);
    }

    /**
     * Returns the use of a connection of the call's own.
     *
     * @return the use
     */
    public static ConnectionPolicy dedicated() {
        return new ConnectionPolicy(Duration.ZERO, DEFAULT_MOST_IDLE, Duration.ZERO);
    }
}
