package org.fennelstage.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Which connections may carry a call, and whether its connection is kept afterwards. Immutable and
 * thread-safe.
 *
 * @param maxIdleTime the longest time for which a reused connection may have been idle; zero to
 *     always open a new connection
 * @param maxIdleConnections the maximum number of idle connections to the address after the call
 * @param firstUseDelay how long a new connection must stay open before the request is sent on it;
 *     zero to send at once
 */
public record ConnectionPolicy(
        Duration maxIdleTime, int maxIdleConnections, Duration firstUseDelay) {

    /** Longer than servers keep idle connections, so that any open connection is reused. */
    private static final Duration UNLIMITED_IDLE_TIME = Duration.ofHours(1);

    private static final int DEFAULT_MAX_IDLE_CONNECTIONS = 16;

    public ConnectionPolicy {
        Objects.requireNonNull(maxIdleTime, "maxIdleTime is null");
        Objects.requireNonNull(firstUseDelay, "firstUseDelay is null");
    }

    /**
     * Returns the policy of calls that may reuse any idle connection.
     *
     * @return the policy
     */
    public static ConnectionPolicy pooled() {
        return new ConnectionPolicy(
                UNLIMITED_IDLE_TIME, DEFAULT_MAX_IDLE_CONNECTIONS, Duration.ZERO);
    }

    /**
     * Returns the policy of calls that need a new connection.
     *
     * @return the policy
     */
    public static ConnectionPolicy dedicated() {
        return new ConnectionPolicy(Duration.ZERO, DEFAULT_MAX_IDLE_CONNECTIONS, Duration.ZERO);
    }
}
