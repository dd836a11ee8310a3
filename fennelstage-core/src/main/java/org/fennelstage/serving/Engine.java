package org.fennelstage.serving;

import java.util.List;
import java.util.Optional;
import org.fennelstage.id.ModelId;

/**
 * Capacity and models of the backend servers of a model service. Immutable and thread-safe.
 *
 * @param batch how many requests one server runs concurrently
 * @param cacheTokens how many tokens fit into one server's memory
 * @param tokensPerEvent how many tokens one event of a stream holds
 * @param models the models, in the order of the configuration
 */
public record Engine(int batch, long cacheTokens, int tokensPerEvent, List<ModelPrice> models) {

    public Engine {
        models = List.copyOf(models);
    }

    /**
     * Returns the entry of a model.
     *
     * @param model the model
     * @return the entry, empty if the servers do not have the model
     */
    public Optional<ModelPrice> model(final ModelId model) {
        return models.stream().filter(m -> m.model().equals(model)).findFirst();
    }
}
