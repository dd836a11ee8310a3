package org.fennelstage.bench.engine;

/** One request at one engine. Confined to the play that made it. */
final class EngineRun {

    private final ModelSpec model;
    private final String part;
    private final int outputTokens;
    private final Runnable onFirst;
    private final Runnable onEnd;
    private int unread;
    private int made;
    private boolean cancelled;

    EngineRun(
            final ModelSpec model,
            final String part,
            final int promptTokens,
            final int outputTokens,
            final Runnable onFirst,
            final Runnable onEnd) {
        this.model = model;
        this.part = part;
        this.unread = promptTokens;
        this.outputTokens = outputTokens;
        this.onFirst = onFirst;
        this.onEnd = onEnd;
    }

    double pace() {
        return model.pace();
    }

    /** Names the shared part in the memory of this model. */
    String memoryKey() {
        return part + "/" + model.id();
    }

    void skip(final int tokens) {
        unread -= tokens;
    }

    int unread() {
        return unread;
    }

    /** Reads a chunk and returns its tokens. */
    int read(final int most) {
        final int tokens = Math.min(most, unread);
        unread -= tokens;
        return tokens;
    }

    /** Makes a token; returns whether it was the last. */
    boolean make() {
        made++;
        if (made == 1) {
            onFirst.run();
        }
        if (!cancelled && made >= outputTokens) {
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
