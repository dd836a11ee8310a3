package org.fennelstage.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what one connection may take from the server. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest request line or header block; bytes
 * @param maxBodyBytes the largest body; bytes
 * @param idle how long a connection may stay silent while it owes us bytes or refuses ours
 */
public record ServerLimits(int maxHeaderBytes, int maxBodyBytes, Duration idle) {

    /** Suits JSON requests. */
    public static final ServerLimits DEFAULT =
            new ServerLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(30));

    public ServerLimits {
        Objects.requireNonNull(idle, "idle is null");
    }
}
