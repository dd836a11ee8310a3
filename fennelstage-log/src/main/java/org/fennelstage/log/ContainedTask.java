package org.fennelstage.log;

import java.util.Objects;

/**
 * A task whose failure, errors included, ends neither its thread nor its repetition.
 *
 * <p>Executors cancel a periodic task that throws without a word, and the process then goes on
 * without it. Immutable; as thread-safe as the task.
 */
public final class ContainedTask implements Runnable {

    private final String name;
    private final Runnable task;

    private ContainedTask(final String name, final Runnable task) {
        this.name = name;
        this.task = task;
    }

    /**
     * Returns a task that logs what another task throws.
     *
     * @param name the name to log
     * @param task the task
     * @return the task, which never throws
     */
    public static ContainedTask of(final String name, final Runnable task) {
        return new ContainedTask(
                Objects.requireNonNull(name, "name is null"),
                Objects.requireNonNull(task, "task is null"));
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (final Throwable e) {
            log(e);
        }
    }

    private void log(final Throwable failure) {
        try {
            EventLog.write(Event.INTERNAL_ERROR, "task", name, "error", failure);
        } catch (final Throwable e) {
            // Without memory for a line in the log, the task still has to run again.
        }
    }
}
