package org.fennelstage.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits that the server applies to each connection. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest request line or header block; bytes
 * @param maxBodyBytes the largest body; bytes
 * @param headerTimeout how long the head of a request may take from its first byte
 * @param idleTimeout how long a connection may be inactive, except while its request is running and
 *     the caller reads what is sent
 */
public record ServerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** For JSON requests. */
    public static final ServerLimits DEFAULT = of(16 * 1024, 1024 * 1024, Duration.ofSeconds(30));

    public ServerLimits {
        Objects.requireNonNull(headerTimeout, "headerTimeout is null");
        Objects.requireNonNull(idleTimeout, "idleTimeout is null");
    }

    /**
     * Returns limits with the idle timeout as header timeout.
     *
     * @param maxHeaderBytes the largest request line or header block; bytes
     * @param maxBodyBytes the largest body; bytes
     * @param idleTimeout how long a connection may be inactive, or the head of a request may take
     * @return the limits
     */
    public static ServerLimits of(
            final int maxHeaderBytes, final int maxBodyBytes, final Duration idleTimeout) {
        return new ServerLimits(maxHeaderBytes, maxBodyBytes, idleTimeout, idleTimeout);
    }
}
