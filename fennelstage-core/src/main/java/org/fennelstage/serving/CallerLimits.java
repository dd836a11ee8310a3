package org.fennelstage.serving;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the size and duration of callers' requests and connections. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest head of a request; bytes
 * @param maxBodyBytes the largest body of a request; bytes
 * @param headerTimeout the longest time in which a head must arrive
 * @param idleTimeout how long a connection may be idle
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits until a configuration is loaded, wide enough to accept every valid request. */
    public static final CallerLimits UNTIL_CONFIGURED =
            new CallerLimits(
                    64 * 1024, 16 * 1024 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(60));

    public CallerLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
    }
}
