package org.fennelstage.crash;

import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * A request was answered, so it did not end the workers that ended under it before. Immutable and
 * thread-safe.
 *
 * @param content the request
 * @param servers the ends that count no longer against it
 */
public record ClearedCrashes(Fingerprint content, Set<Incarnation> servers) {

    public ClearedCrashes {
        Objects.requireNonNull(content, "content is null");
        servers = Set.copyOf(servers);
    }
}
