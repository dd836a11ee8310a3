package org.fennelstage.serving;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what a caller may send and how long it may take. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest head of a request; bytes
 * @param maxBodyBytes the largest body; bytes
 * @param headerTimeout how long a head may take to arrive
 * @param idleTimeout how long a connection may be idle
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** In force until a configuration is known; generous, so that it rejects nothing proper. */
    public static final CallerLimits UNTIL_CONFIGURED =
            new CallerLimits(
                    64 * 1024, 16 * 1024 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(60));

    public CallerLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
    }
}
