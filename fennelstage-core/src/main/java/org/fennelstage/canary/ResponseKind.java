package org.fennelstage.canary;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.ModelId;

/**
 * Requests of one service whose responses take about the same time. Immutable and thread-safe.
 *
 * @param route the name of the route
 * @param model the model, empty if there is no choice
 */
public record ResponseKind(String route, Optional<ModelId> model) {

    public ResponseKind {
        Objects.requireNonNull(route, "route is null");
        Objects.requireNonNull(model, "model is null");
    }
}
