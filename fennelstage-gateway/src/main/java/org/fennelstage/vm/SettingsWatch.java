package org.fennelstage.vm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fennelstage.log.ContainedTask;

/**
 * Detects changes of the settings file by polling its modification time.
 *
 * <p>Runs on a thread of its own, so that a slow file system does not delay requests. Thread-safe.
 */
final class SettingsWatch {

    /** Time between two checks; milliseconds. */
    private static final long PERIOD_MILLIS = 2_000;

    private final Path file;
    private final Runnable onChange;
    private final long periodMillis;
    private Optional<FileTime> lastModified;

    private SettingsWatch(final Path file, final Runnable onChange, final long periodMillis) {
        this.file = file;
        this.onChange = onChange;
        this.periodMillis = periodMillis;
        this.lastModified = readLastModified();
    }

    /**
     * Starts watching a file.
     *
     * @param file the file
     * @param onChange runs after each change, on the watching thread
     * @return the watch
     */
    static SettingsWatch start(final Path file, final Runnable onChange) {
        return start(file, onChange, PERIOD_MILLIS);
    }

    /** Starts watching a file, with a given time between two checks. */
    static SettingsWatch start(final Path file, final Runnable onChange, final long periodMillis) {
        final SettingsWatch watch =
                new SettingsWatch(
                        Objects.requireNonNull(file, "file is null"),
                        Objects.requireNonNull(onChange, "onChange is null"),
                        periodMillis);
        final Thread thread = new Thread(watch::run, "settings-watch");
        thread.setDaemon(true);
        thread.start();
        return watch;
    }

    /** Checks the file once. */
    synchronized void check() {
        final Optional<FileTime> current = readLastModified();
        if (current.isPresent() && !current.equals(lastModified)) {
            lastModified = current;
            onChange.run();
        }
    }

    private void run() {
        final Runnable check = ContainedTask.of("settings watch", this::check);
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(periodMillis);
                check.run();
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the modification time, empty while the file is missing, such as during its
     * replacement.
     */
    private Optional<FileTime> readLastModified() {
        try {
            return Optional.of(Files.getLastModifiedTime(file));
        } catch (final IOException e) {
            return Optional.empty();
        }
    }
}
