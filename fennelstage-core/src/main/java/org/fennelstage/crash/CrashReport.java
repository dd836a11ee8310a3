package org.fennelstage.crash;

import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * A worker ended while it had requests that it had begun a moment before, or not yet. Immutable and
 * thread-safe.
 *
 * @param server the worker, and which of its lives ended
 * @param contents the requests, each of which may have ended it
 */
public record CrashReport(Incarnation server, Set<Fingerprint> contents) {

    public CrashReport {
        Objects.requireNonNull(server, "server is null");
        contents = Set.copyOf(contents);
    }
}
