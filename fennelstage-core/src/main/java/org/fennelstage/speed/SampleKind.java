package org.fennelstage.speed;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;

/**
 * Requests whose times are comparable. Immutable and thread-safe.
 *
 * @param service the service
 * @param name the model or the route
 */
public record SampleKind(ServiceName service, String name) {

    public SampleKind {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(name, "name is null");
    }

    /**
     * Returns the kind of a stream, whose time per event depends on the model.
     *
     * @param service the service
     * @param model the model, empty if there is no choice
     * @return the kind
     */
    public static SampleKind ofStream(final ServiceName service, final Optional<ModelId> model) {
        return new SampleKind(service, model.map(ModelId::value).orElse(""));
    }

    /**
     * Returns the kind of a request without a prompt, whose time depends on the route.
     *
     * @param service the service
     * @param route the name of the route
     * @return the kind
     */
    public static SampleKind ofRoute(final ServiceName service, final String route) {
        return new SampleKind(service, route);
    }
}
