package org.fennelstage.bench.engine;

import java.util.PriorityQueue;

/**
 * Virtual time: actions in the order of their due times, those due together in the order in which
 * they were set. Not thread-safe.
 */
final class Clockwork {

    private record Due(double millis, long order, Runnable action) {}

    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.millis() == b.millis()
                                    ? Long.compare(a.order(), b.order())
                                    : Double.compare(a.millis(), b.millis()));
    private double now;
    private long order;

    double now() {
        return now;
    }

    void after(final double millis, final Runnable action) {
        queue.add(new Due(now + millis, order++, action));
    }

    void runUntil(final double endMillis) {
        while (!queue.isEmpty() && queue.peek().millis() <= endMillis) {
            final Due next = queue.poll();
            now = next.millis();
            next.action().run();
        }
    }
}
