package org.fennelstage.canary;

import java.util.Objects;
import org.fennelstage.id.BackendServerId;

/**
 * What evidence is added up for: one measure over all responses, or over those of one route or
 * backend server. Immutable and thread-safe.
 *
 * @param measure the measure
 * @param scope the name of the route or backend server, empty for all responses
 */
public record EvidenceKey(Measure measure, String scope) {

    public EvidenceKey {
        Objects.requireNonNull(measure, "measure is null");
        Objects.requireNonNull(scope, "scope is null");
    }

    /**
     * Returns the key of a measure over all routes.
     *
     * @param measure the measure
     * @return the key
     */
    public static EvidenceKey ofAllRoutes(final Measure measure) {
        return new EvidenceKey(measure, "");
    }

    /** Returns the key of the failures of a backend server in a load test. */
    static EvidenceKey underLoad(final BackendServerId server) {
        return new EvidenceKey(Measure.FAILURE_UNDER_LOAD, server.value());
    }

    @Override
    public String toString() {
        return scope.isEmpty() ? measure.name() : measure + "/" + scope;
    }
}
