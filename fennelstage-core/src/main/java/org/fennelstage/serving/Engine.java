package org.fennelstage.serving;

import java.util.List;
import java.util.Optional;
import org.fennelstage.id.ModelId;

/**
 * What the workers of a model service can do. Immutable and thread-safe.
 *
 * @param batch how many requests one worker runs at once
 * @param cacheTokens how many tokens fit into one worker's memory
 * @param tokensPerEvent how many tokens an event of a stream holds
 * @param models the models, in the order of the configuration
 */
public record Engine(int batch, long cacheTokens, int tokensPerEvent, List<ModelSize> models) {

    public Engine {
        models = List.copyOf(models);
    }

    /**
     * Returns the entry of a model.
     *
     * @param model its name
     * @return the entry, empty if the workers do not hold it
     */
    public Optional<ModelSize> model(final ModelId model) {
        return models.stream().filter(m -> m.model().equals(model)).findFirst();
    }
}
