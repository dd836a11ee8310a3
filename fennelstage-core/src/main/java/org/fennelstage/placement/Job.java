package org.fennelstage.placement;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.ModelId;

/**
 * A request as placement sees it: what it asks of a worker, in the worker's time. Immutable and
 * thread-safe.
 *
 * @param prompt what it asks of an engine, empty for a plain service
 * @param model the model that is asked, empty if there is no choice
 * @param sharing whether it is to go where others with the same part went
 * @param millisPerToken how long a worker takes to read a token of the prompt; milliseconds
 * @param answerMillis how long such a request usually keeps a place at a worker; milliseconds
 */
public record Job(
        Optional<Prompt> prompt,
        Optional<ModelId> model,
        boolean sharing,
        double millisPerToken,
        double answerMillis) {

    /**
     * By how much one more running request lengthens the answers of an engine: its steps become
     * half a part in a hundred longer, since all requests of a batch advance together.
     */
    private static final double ENGINE_SLOWDOWN = 0.005;

    public Job {
        Objects.requireNonNull(prompt, "prompt is null");
        Objects.requireNonNull(model, "model is null");
    }

    /**
     * Returns the time to read the prompt if no part of it is in memory.
     *
     * @return milliseconds, zero for a plain service
     */
    public long readMillis() {
        return prompt.map(p -> Math.round(p.promptTokens() * millisPerToken)).orElse(0L);
    }

    /** The time saved where the parts that other requests share are in memory; milliseconds. */
    double sharedMillis() {
        return sharing ? prompt.map(p -> p.sharedTokens() * millisPerToken).orElse(0.0) : 0;
    }

    /**
     * Names what the request shares with others, empty if nothing. Engines keep a part for each
     * model by itself.
     */
    Optional<String> affinity() {
        return prompt.filter(p -> sharing)
                .flatMap(Prompt::lastShared)
                .map(part -> part.id() + "/" + model.map(ModelId::value).orElse(""));
    }

    /** What each request that runs beside this one costs it; milliseconds. */
    double neighbourMillis(final int capacity) {
        return prompt.isPresent() ? answerMillis * ENGINE_SLOWDOWN : answerMillis / capacity;
    }
}
