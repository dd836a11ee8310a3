package org.fennelstage.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A clock and scheduler whose time advances only in {@link #advance}. Not thread-safe. */
final class ManualScheduler extends AbstractExecutorService
        implements ScheduledExecutorService, InstantSource {

    private record Task(long dueMillis, long order, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::order));
    private long nowMillis;
    private long order;

    ManualScheduler(final Instant start) {
        nowMillis = start.toEpochMilli();
    }

    void advance(final Duration by) {
        final long target = nowMillis + by.toMillis();
        while (!tasks.isEmpty() && tasks.peek().dueMillis() <= target) {
            final Task task = tasks.poll();
            nowMillis = Math.max(nowMillis, task.dueMillis());
            task.action().run();
        }
        nowMillis = target;
    }

    boolean hasPending() {
        return !tasks.isEmpty();
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(nowMillis);
    }

    @Override
    public ScheduledFuture<?> schedule(
            final Runnable command, final long delay, final TimeUnit unit) {
        tasks.add(new Task(nowMillis + unit.toMillis(delay), order++, command));
        return null;
    }

    @Override
    public void execute(final Runnable command) {
        command.run();
    }

    @Override
    public <V> ScheduledFuture<V> schedule(
            final Callable<V> callable, final long delay, final TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            final Runnable command, final long first, final long period, final TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            final Runnable command, final long first, final long delay, final TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(final long timeout, final TimeUnit unit) {
        return true;
    }
}
