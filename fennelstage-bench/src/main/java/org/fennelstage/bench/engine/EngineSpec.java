package org.fennelstage.bench.engine;

/**
 * The capacity and speed of a model engine. Immutable and thread-safe.
 *
 * @param maxBatchSize requests that run at the same time; further ones wait
 * @param stepMillis fixed time of a decoding step at time factor 1; milliseconds
 * @param stepMillisPerRequest additional time of a step for each decoding request; milliseconds
 * @param promptTokensPerMilli prompt tokens read in a millisecond at time factor 1
 * @param promptChunkTokens prompt tokens read in one step
 * @param promptCacheTokens capacity of the prompt cache; tokens
 */
public record EngineSpec(
        int maxBatchSize,
        double stepMillis,
        double stepMillisPerRequest,
        double promptTokensPerMilli,
        int promptChunkTokens,
        int promptCacheTokens) {

    /** Returns an engine of the same size and another speed. */
    EngineSpec atSpeed(final double speed) {
        return new EngineSpec(
                maxBatchSize,
                stepMillis / speed,
                stepMillisPerRequest / speed,
                promptTokensPerMilli * speed,
                promptChunkTokens,
                promptCacheTokens);
    }

    /** A large model on four accelerators. */
    public static final EngineSpec LARGE = new EngineSpec(48, 3.1, 0.017, 60, 2_048, 300_000);
}
