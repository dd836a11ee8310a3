package org.fennelstage.serving;

import java.util.Objects;
import org.fennelstage.id.ModelId;

/**
 * A model that a service's workers hold. Immutable and thread-safe.
 *
 * @param model its name
 * @param cost its price per 1,000 generated tokens; a token read counts a quarter
 */
public record ModelSize(ModelId model, double cost) {

    public ModelSize {
        Objects.requireNonNull(model, "model is null");
    }
}
