package org.fennelstage.http;

import java.time.Duration;
import java.util.Objects;

/**
 * How one call is made. Immutable and thread-safe.
 *
 * @param connectTimeout the longest wait for a connection
 * @param silence the longest wait for the next byte of the response
 * @param freshConnection whether a pooled connection may not be used. A pooled connection may have
 *     been closed by the other side a moment ago: bytes written to it are lost, and nobody can tell
 *     whether they arrived. A request that may not be repeated would then end as unknown.
 */
public record CallOptions(Duration connectTimeout, Duration silence, boolean freshConnection) {

    /** Suits calls within a data centre. */
    public static final CallOptions DEFAULT =
            new CallOptions(Duration.ofSeconds(1), Duration.ofSeconds(30), false);

    public CallOptions {
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(silence, "silence is null");
    }
}
