package org.fennelstage.crash;

import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * Crashes that no longer count against a content or a part of a prompt, because a backend server
 * has responded to a request with it since. Immutable and thread-safe.
 *
 * @param suspect the fingerprint of the content or the part
 * @param servers the incarnations whose crashes no longer count
 */
public record ClearedCrashes(Fingerprint suspect, Set<Incarnation> servers) {

    public ClearedCrashes {
        Objects.requireNonNull(suspect, "suspect is null");
        servers = Set.copyOf(servers);
    }
}
