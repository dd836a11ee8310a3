package org.fennelstage.canary;

import java.util.Objects;

/**
 * What evidence is added up for: one measure over all routes, or over one of them. Immutable and
 * thread-safe.
 *
 * @param measure the measure
 * @param route the name of the route, empty for all routes
 */
public record EvidenceKey(Measure measure, String route) {

    public EvidenceKey {
        Objects.requireNonNull(measure, "measure is null");
        Objects.requireNonNull(route, "route is null");
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

    @Override
    public String toString() {
        return route.isEmpty() ? measure.name() : measure + "/" + route;
    }
}
