package org.fennelstage.bench.engine;

/** An attempt of a request at one model engine. Confined to one simulation. */
final class EngineAttempt {

    private final ModelSpec model;
    private final String sharedPartId;
    private final int outputTokens;
    private final Runnable onToken;
    private final Runnable onFirstToken;
    private final Runnable onEnd;
    private int unreadTokens;
    private int generatedTokens;
    private boolean cancelled;

    EngineAttempt(
            final ModelSpec model,
            final String sharedPartId,
            final int promptTokens,
            final int outputTokens,
            final Runnable onToken,
            final Runnable onFirstToken,
            final Runnable onEnd) {
        this.model = model;
        this.sharedPartId = sharedPartId;
        this.unreadTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.onToken = onToken;
        this.onFirstToken = onFirstToken;
        this.onEnd = onEnd;
    }

    double timeFactor() {
        return model.timeFactor();
    }

    /** Returns the key of the shared prompt part; the prompt cache is separate for each model. */
    String promptCacheKey() {
        return sharedPartId + "/" + model.id();
    }

    /** Skips the part of the prompt that is in the prompt cache. */
    void skipCached(final int tokens) {
        unreadTokens -= tokens;
    }

    int unreadTokens() {
        return unreadTokens;
    }

    /** Reads the next chunk of the prompt and returns its tokens. */
    int readChunk(final int maxTokens) {
        final int tokens = Math.min(maxTokens, unreadTokens);
        unreadTokens -= tokens;
        return tokens;
    }

    /** Generates a token and returns whether it was the last one. */
    boolean generateToken() {
        generatedTokens++;
        onToken.run();
        if (generatedTokens == 1) {
            onFirstToken.run();
        }
        if (!cancelled && generatedTokens >= outputTokens) {
            onEnd.run();
            return true;
        }
        return false;
    }

    void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }
}
