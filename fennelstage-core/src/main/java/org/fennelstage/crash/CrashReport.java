package org.fennelstage.crash;

import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * A crash of a backend server, with the requests that it had not started or had started just before
 * the crash. Immutable and thread-safe.
 *
 * @param server the incarnation that crashed
 * @param requests the requests, each of which may have caused the crash
 */
public record CrashReport(Incarnation server, Set<RequestFingerprints> requests) {

    public CrashReport {
        Objects.requireNonNull(server, "server is null");
        requests = Set.copyOf(requests);
    }
}
