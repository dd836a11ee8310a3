package org.fennelstage.bench.engine;

/**
 * How fast a model engine is. Immutable and thread-safe.
 *
 * @param batch how many requests run at once; further ones wait
 * @param stepMillis one step of one request at pace 1, in which it gets a token; milliseconds
 * @param stepMillisPerRequest what each further request adds to a step; milliseconds
 * @param tokensPerMilli tokens of a prompt read in a millisecond at pace 1
 * @param chunkTokens tokens of a prompt read between two steps
 * @param cacheTokens tokens of shared parts that stay in memory
 */
public record EngineSpec(
        int batch,
        double stepMillis,
        double stepMillisPerRequest,
        double tokensPerMilli,
        int chunkTokens,
        int cacheTokens) {

    /** A large model on four accelerators, with room for 48 requests. */
    public static final EngineSpec LARGE = new EngineSpec(48, 3.1, 0.017, 60, 2_048, 300_000);
}
