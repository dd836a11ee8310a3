package org.fennelstage.crash;

import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.fleet.Incarnation;

/**
 * A crash of a backend server, with the requests that it had not started or had started just before
 * the crash. Immutable and thread-safe.
 *
 * @param server the incarnation that crashed
 * @param attempts the requests, each of which may have caused the crash, and how long each had been
 *     at the server when its connection broke
 * @param age the time since the first of these connections broke
 */
public record CrashReport(
        Incarnation server, Map<RequestFingerprints, Duration> attempts, Duration age) {

    public CrashReport {
        Objects.requireNonNull(server, "server is null");
        Objects.requireNonNull(age, "age is null");
        attempts = Collections.unmodifiableMap(new LinkedHashMap<>(attempts));
    }

    /**
     * Returns a report of a crash at which each request had just arrived.
     *
     * @param server the incarnation that crashed
     * @param requests the requests
     * @return the report
     */
    public static CrashReport of(
            final Incarnation server, final Set<RequestFingerprints> requests) {
        final Map<RequestFingerprints, Duration> attempts = new LinkedHashMap<>();
        requests.forEach(request -> attempts.put(request, Duration.ZERO));
        return new CrashReport(server, attempts, Duration.ZERO);
    }

    /**
     * Returns the requests, each of which may have caused the crash.
     *
     * @return their fingerprints
     */
    public Set<RequestFingerprints> requests() {
        return attempts.keySet();
    }
}
