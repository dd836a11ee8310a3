package org.fennelstage.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what one connection may take from the server. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest request line or header block; bytes
 * @param maxBodyBytes the largest body; bytes
 * @param headerTimeout how long the head of a request may take from its first byte
 * @param idleTimeout how long a connection may stay silent while it owes us bytes or refuses ours
 */
public record ServerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Suits JSON requests. */
    public static final ServerLimits DEFAULT = of(16 * 1024, 1024 * 1024, Duration.ofSeconds(30));

    public ServerLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
    }

    /**
     * Returns limits under which a request's head may take as long as a connection may be silent.
     *
     * @param maxHeaderBytes the largest request line or header block; bytes
     * @param maxBodyBytes the largest body; bytes
     * @param idleTimeout how long a connection may stay silent
     * @return the limits
     */
    public static ServerLimits of(
            final int maxHeaderBytes, final int maxBodyBytes, final Duration idleTimeout) {
        return new ServerLimits(maxHeaderBytes, maxBodyBytes, idleTimeout, idleTimeout);
    }
}
