package org.fennelstage.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * How to make one call. Immutable; thread-safe if the predicate is.
 *
 * @param connectTimeout the longest wait for a new connection; a call that fails by it was never
 *     sent
 * @param inactivityTimeout the longest wait without any byte of the response
 * @param connection which connections may carry it
 * @param matchesCall tells by its headers whether a response answers this call; one that does not
 *     is dropped, and the connection closes after the call
 */
public record CallOptions(
        Duration connectTimeout,
        Duration inactivityTimeout,
        ConnectionPolicy connection,
        Predicate<HttpHeaders> matchesCall) {

    /** Suits calls that may be repeated. */
    public static final CallOptions DEFAULT =
            of(Duration.ofSeconds(1), Duration.ofSeconds(30), false);

    public CallOptions {
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(inactivityTimeout, "inactivityTimeout is null");
        Objects.requireNonNull(connection, "connection is null");
        Objects.requireNonNull(matchesCall, "matchesCall is null");
    }

    /**
     * Returns options for a peer whose responses come in order.
     *
     * @param connectTimeout the longest wait for a new connection
     * @param inactivityTimeout the longest wait without any byte of the response
     * @param freshConnection whether the call needs a connection of its own
     * @return the options
     */
    public static CallOptions of(
            final Duration connectTimeout,
            final Duration inactivityTimeout,
            final boolean freshConnection) {
        final ConnectionPolicy connection =
                freshConnection ? ConnectionPolicy.dedicated() : ConnectionPolicy.pooled();
        return new CallOptions(connectTimeout, inactivityTimeout, connection, headers -> true);
    }
}
