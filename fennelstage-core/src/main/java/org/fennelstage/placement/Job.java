package org.fennelstage.placement;

import java.util.Objects;
import java.util.Optional;
import org.fennelstage.id.ModelId;

/**
 * What placement needs to know of a request to estimate its cost at a backend server. Immutable and
 * thread-safe.
 *
 * @param prompt the prompt, empty for a service without models
 * @param model the model, empty if there is no choice
 * @param sharing whether to prefer backend servers that likely have the shared prompt part cached
 * @param millisPerToken time in which a backend server reads (prefills) one prompt token;
 *     milliseconds
 * @param responseMillis expected time that such a request occupies a slot; milliseconds
 */
public record Job(
        Optional<Prompt> prompt,
        Optional<ModelId> model,
        boolean sharing,
        double millisPerToken,
        double responseMillis) {

    /**
     * Relative slowdown of a model's response per further running request, since all requests of a
     * batch advance together.
     */
    private static final double BATCH_SLOWDOWN = 0.005;

    public Job {
        Objects.requireNonNull(prompt, "prompt is null");
        Objects.requireNonNull(model, "model is null");
    }

    /**
     * Returns the time to read the prompt if no part of it is cached.
     *
     * @return milliseconds, zero without a prompt
     */
    public long readMillis() {
        return prompt.map(p -> Math.round(p.promptTokens() * millisPerToken)).orElse(0L);
    }

    /** Returns the time saved if the shared prompt parts are cached; milliseconds. */
    double sharedMillis() {
        return sharing ? prompt.map(p -> p.sharedTokens() * millisPerToken).orElse(0.0) : 0;
    }

    /**
     * Returns the key of the shared prompt part, empty if nothing is shared. It contains the model,
     * since the prompt cache is separate for each model.
     */
    Optional<String> affinity() {
        return prompt.filter(p -> sharing)
                .flatMap(Prompt::lastShared)
                .map(part -> part.id() + "/" + model.map(ModelId::value).orElse(""));
    }

    /**
     * Returns the delay caused by each other request that runs there; milliseconds. Without a
     * prompt there is none, since each request has a slot to itself.
     */
    double delayPerRequestMillis() {
        return prompt.isPresent() ? responseMillis * BATCH_SLOWDOWN : 0;
    }
}
