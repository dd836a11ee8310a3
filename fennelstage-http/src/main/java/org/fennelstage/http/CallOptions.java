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
 * @param silence the longest wait without any byte of the response
 * @param maxIdle the longest time since its last use for which a kept connection may carry the
 *     call; zero for a connection of its own
 * @param answersThis tells by its headers whether a response answers this call; one that does not
 *     is dropped, and the connection closes after the call
 */
public record CallOptions(
        Duration connectTimeout,
        Duration silence,
        Duration maxIdle,
        Predicate<HttpHeaders> answersThis) {

    /** Longer than servers keep idle connections: any kept connection will do. */
    private static final Duration ANY_IDLE = Duration.ofHours(1);

    /** Suits calls that may be repeated. */
    public static final CallOptions DEFAULT =
            of(Duration.ofSeconds(1), Duration.ofSeconds(30), false);

    public CallOptions {
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(silence, "silence is null");
        Objects.requireNonNull(maxIdle, "maxIdle is null");
        Objects.requireNonNull(answersThis, "answersThis is null");
    }

    /**
     * Returns options for a peer whose responses come in order.
     *
     * @param connectTimeout the longest wait for a new connection
     * @param silence the longest wait without any byte of the response
     * @param freshConnection whether the call needs a connection of its own
     * @return the options
     */
    public static CallOptions of(
            final Duration connectTimeout, final Duration silence, final boolean freshConnection) {
        final Duration maxIdle = freshConnection ? Duration.ZERO : ANY_IDLE;
        return new CallOptions(connectTimeout, silence, maxIdle, headers -> true);
    }
}
