package org.fennelstage.bench.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model engine: all running requests advance by a token a step, and a chunk of one prompt is read
 * between two steps, in which all others wait.
 *
 * <p>A step takes the mean pace of the running requests: small models are slowed by large ones that
 * run beside them, and large ones gain. Confined to one play.
 */
final class Engine {

    private final EngineSpec spec;
    private final Clockwork clockwork;
    private final List<EngineRun> running = new ArrayList<>();
    private final Deque<EngineRun> waiting = new ArrayDeque<>();
    private final Map<String, Integer> memory = new LinkedHashMap<>(16, 0.75f, true);
    private int memoryTokens;
    private boolean stepping;
    private long tokensRead;

    Engine(final EngineSpec spec, final Clockwork clockwork) {
        this.spec = spec;
        this.clockwork = clockwork;
    }

    void submit(final EngineRun run, final int sharedTokens) {
        if (memory.get(run.memoryKey()) != null) {
            run.skip(Math.min(sharedTokens, run.unread() - 1));
        }
        remember(run.memoryKey(), sharedTokens);
        waiting.addLast(run);
        if (!stepping) {
            stepping = true;
            clockwork.after(0, this::step);
        }
    }

    long tokensRead() {
        return tokensRead;
    }

    private void remember(final String key, final int tokens) {
        if (memory.put(key, tokens) == null) {
            memoryTokens += tokens;
        }
        while (memoryTokens > spec.cacheTokens()) {
            final Map.Entry<String, Integer> eldest = memory.entrySet().iterator().next();
            memoryTokens -= eldest.getValue();
            memory.remove(eldest.getKey());
        }
    }

    private void step() {
        running.removeIf(EngineRun::isCancelled);
        waiting.removeIf(EngineRun::isCancelled);
        while (!waiting.isEmpty() && running.size() < spec.batch()) {
            running.add(waiting.pollFirst());
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        final List<EngineRun> ready = running.stream().filter(r -> r.unread() == 0).toList();
        final double millis = readMillis() + decodeMillis(ready);
        clockwork.after(millis, () -> finishStep(ready));
    }

    private double readMillis() {
        for (final EngineRun run : running) {
            if (run.unread() > 0) {
                final int tokens = run.read(spec.chunkTokens());
                tokensRead += tokens;
                return tokens * run.pace() / spec.tokensPerMilli();
            }
        }
        return 0;
    }

    private double decodeMillis(final List<EngineRun> ready) {
        final double pace = ready.stream().mapToDouble(EngineRun::pace).average().orElse(0);
        return pace * (spec.stepMillis() + spec.stepMillisPerRequest() * ready.size());
    }

    private void finishStep(final List<EngineRun> ready) {
        for (final EngineRun run : ready) {
            if (!run.isCancelled() && run.make()) {
                running.remove(run);
            }
        }
        step();
    }
}
