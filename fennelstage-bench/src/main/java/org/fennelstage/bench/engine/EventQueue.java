package org.fennelstage.bench.engine;

import java.util.PriorityQueue;

/**
 * Runs scheduled actions in virtual time, in the order of their due times. Actions due at the same
 * time run in the order in which they were scheduled. Not thread-safe.
 */
final class EventQueue {

    private record Event(double dueMillis, long sequence, Runnable action) {}

    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(
                    (a, b) ->
                            a.dueMillis() == b.dueMillis()
                                    ? Long.compare(a.sequence(), b.sequence())
                                    : Double.compare(a.dueMillis(), b.dueMillis()));
    private double nowMillis;
    private long nextSequence;

    /** Returns the virtual time since the start; milliseconds. */
    double nowMillis() {
        return nowMillis;
    }

    void schedule(final double delayMillis, final Runnable action) {
        queue.add(new Event(nowMillis + delayMillis, nextSequence++, action));
    }

    void runUntil(final double endMillis) {
        while (!queue.isEmpty() && queue.peek().dueMillis() <= endMillis) {
            final Event next = queue.poll();
            nowMillis = next.dueMillis();
            next.action().run();
        }
    }
}
