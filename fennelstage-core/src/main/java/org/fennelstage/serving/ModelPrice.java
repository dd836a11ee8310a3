package org.fennelstage.serving;

import java.util.Objects;
import org.fennelstage.id.ModelId;

/**
 * A model that a service's backend servers have, with its price. Immutable and thread-safe.
 *
 * @param model the model
 * @param cost its price per 1,000 generated tokens; a prompt token costs a quarter of a generated
 *     one
 */
public record ModelPrice(ModelId model, double cost) {

    public ModelPrice {
        Objects.requireNonNull(model, "model is null");
    }
}
