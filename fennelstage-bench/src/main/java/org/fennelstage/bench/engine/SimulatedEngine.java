package org.fennelstage.bench.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates a model engine with continuous batching: in each step every decoding attempt generates
 * one token, and the engine reads a chunk of at most one prompt, which delays the whole batch.
 *
 * <p>A step takes the mean time of the decoding models, so a small model runs slower beside a large
 * one. Shared prompt parts stay in a least-recently-used prompt cache. Confined to one simulation.
 */
final class SimulatedEngine {

    private final EngineSpec spec;
    private final EventQueue eventQueue;
    private final List<EngineAttempt> running = new ArrayList<>();
    private final Deque<EngineAttempt> waiting = new ArrayDeque<>();
    private final Map<String, Integer> promptCache = new LinkedHashMap<>(16, 0.75f, true);
    private int cachedTokens;
    private boolean stepping;
    private long promptTokensRead;

    SimulatedEngine(final EngineSpec spec, final EventQueue eventQueue) {
        this.spec = spec;
        this.eventQueue = eventQueue;
    }

    /**
     * Queues an attempt.
     *
     * @param attempt the attempt
     * @param sharedTokens the length of its shared prompt part; tokens
     */
    void submit(final EngineAttempt attempt, final int sharedTokens) {
        if (promptCache.get(attempt.promptCacheKey()) != null) {
            attempt.skipCached(Math.min(sharedTokens, attempt.unreadTokens() - 1));
        }
        cachePromptPart(attempt.promptCacheKey(), sharedTokens);
        waiting.addLast(attempt);
        if (!stepping) {
            stepping = true;
            eventQueue.schedule(0, this::step);
        }
    }

    /** Returns the prompt tokens that were read and not taken from the cache. */
    long promptTokensRead() {
        return promptTokensRead;
    }

    private void cachePromptPart(final String key, final int tokens) {
        if (promptCache.put(key, tokens) == null) {
            cachedTokens += tokens;
        }
        while (cachedTokens > spec.promptCacheTokens()) {
            final Map.Entry<String, Integer> eldest = promptCache.entrySet().iterator().next();
            cachedTokens -= eldest.getValue();
            promptCache.remove(eldest.getKey());
        }
    }

    private void step() {
        running.removeIf(EngineAttempt::isCancelled);
        waiting.removeIf(EngineAttempt::isCancelled);
        while (!waiting.isEmpty() && running.size() < spec.maxBatchSize()) {
            running.add(waiting.pollFirst());
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        final List<EngineAttempt> decoding =
                running.stream().filter(a -> a.unreadTokens() == 0).toList();
        final double stepMillis = readMillis() + decodeMillis(decoding);
        eventQueue.schedule(stepMillis, () -> finishStep(decoding));
    }

    private double readMillis() {
        for (final EngineAttempt attempt : running) {
            if (attempt.unreadTokens() > 0) {
                final int tokens = attempt.readChunk(spec.promptChunkTokens());
                promptTokensRead += tokens;
                return tokens * attempt.timeFactor() / spec.promptTokensPerMilli();
            }
        }
        return 0;
    }

    private double decodeMillis(final List<EngineAttempt> decoding) {
        final double timeFactor =
                decoding.stream().mapToDouble(EngineAttempt::timeFactor).average().orElse(0);
        return timeFactor * (spec.stepMillis() + spec.stepMillisPerRequest() * decoding.size());
    }

    private void finishStep(final List<EngineAttempt> decoding) {
        for (final EngineAttempt attempt : decoding) {
            if (!attempt.isCancelled() && attempt.generateToken()) {
                running.remove(attempt);
            }
        }
        step();
    }
}
