package org.fennelstage.crash;

import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * Crashes that no longer count against a request, because a backend server has responded to it
 * since. Immutable and thread-safe.
 *
 * @param content the request's fingerprint
 * @param servers the incarnations whose crashes no longer count
 */
public record ClearedCrashes(Fingerprint content, Set<Incarnation> servers) {

    public ClearedCrashes {
        Objects.requireNonNull(content, "content is null");
        servers = Set.copyOf(servers);
    }
}
