package org.fennelstage.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * Options of one call. Immutable; thread-safe if the predicate is.
 *
 * @param connectTimeout the timeout for opening a connection; a call that fails by it was not sent
 * @param inactivityTimeout the longest time without receiving data
 * @param connection which connections may carry the call
 * @param matchesCall decides by its headers whether a response belongs to this call; one that does
 *     not is dropped, and the connection is closed after the call
 */
public record CallOptions(
        Duration connectTimeout,
        Duration inactivityTimeout,
        ConnectionPolicy connection,
        Predicate<HttpHeaders> matchesCall) {

    /** For calls that may be retried. */
    public static final CallOptions DEFAULT =
            of(Duration.ofSeconds(1), Duration.ofSeconds(30), false);

    public CallOptions {
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(inactivityTimeout, "inactivityTimeout is null");
        Objects.requireNonNull(connection, "connection is null");
        Objects.requireNonNull(matchesCall, "matchesCall is null");
    }

    /**
     * Returns options for a server whose responses need no check that they belong to the call.
     *
     * @param connectTimeout the timeout for opening a connection
     * @param inactivityTimeout the longest time without receiving data
     * @param newConnection whether the call needs a new connection
     * @return the options
     */
    public static CallOptions of(
            final Duration connectTimeout,
            final Duration inactivityTimeout,
            final boolean newConnection) {
        final ConnectionPolicy connection =
                newConnection ? ConnectionPolicy.dedicated() : ConnectionPolicy.pooled();
        return new CallOptions(connectTimeout, inactivityTimeout, connection, headers -> true);
    }
}
