package org.fennelstage.crash;

import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * A crash of a backend server, with the requests that it had not started or had started just before
 * the crash. Immutable and thread-safe.
 *
 * @param server the incarnation that crashed
 * @param contents the fingerprints of the requests, each of which may have caused the crash
 */
public record CrashReport(Incarnation server, Set<Fingerprint> contents) {

    public CrashReport {
        Objects.requireNonNull(server, "server is null");
        contents = Set.copyOf(contents);
    }
}
