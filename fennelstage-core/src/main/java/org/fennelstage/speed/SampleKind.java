package org.fennelstage.speed;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.ModelId;
import org.fennelstage.id.ServiceName;

/**
 * Requests whose times are comparable. Immutable and thread-safe.
 *
 * @param service the service
 * @param type the kind of response, since a model and a route may have the same name
 * @param name the model or the route
 * @param dataCentre the data centre of the backend server if the time contains a network round
 *     trip, otherwise empty
 */
public record SampleKind(
        ServiceName service, Type type, String name, Optional<DataCentreId> dataCentre) {

    /** The kind of response. */
    public enum Type {
        /** A stream, timed per event. */
        STREAM,
        /** Another response, timed as a whole. */
        WHOLE
    }

    public SampleKind {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(type, "type is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
    }

    /**
     * Returns the kind of a stream, whose time per event depends on the model.
     *
     * @param service the service
     * @param model the model, empty if there is no choice
     * @return the kind
     */
    public static SampleKind ofStream(final ServiceName service, final Optional<ModelId> model) {
        return new SampleKind(
                service, Type.STREAM, model.map(ModelId::value).orElse(""), Optional.empty());
    }

    /**
     * Returns the kind of a request without a prompt, whose time depends on the route and contains
     * the round trip to the backend server.
     *
     * @param service the service
     * @param route the name of the route
     * @param dataCentre the data centre of the backend server
     * @return the kind
     */
    public static SampleKind ofRoute(
            final ServiceName service, final String route, final DataCentreId dataCentre) {
        return new SampleKind(service, Type.WHOLE, route, Optional.of(dataCentre));
    }
}
