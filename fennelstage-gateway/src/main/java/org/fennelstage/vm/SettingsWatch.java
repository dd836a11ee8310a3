package org.fennelstage.vm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Notices that the settings file has changed, also if nobody says so by a signal.
 *
 * <p>Runs on a thread of its own, so that a slow file system does not hold up requests.
 * Thread-safe.
 */
final class SettingsWatch {

    /** How often the file's time is looked at; changes of settings are rare and not urgent. */
    private static final long PERIOD_MILLIS = 2_000;

    private final Path file;
    private final Runnable onChange;
    private Optional<FileTime> seen;

    private SettingsWatch(final Path file, final Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
        this.seen = modified();
    }

    /**
     * Starts to watch a file.
     *
     * @param file the file
     * @param onChange runs after each change, on the watch's thread
     * @return the watch
     */
    static SettingsWatch start(final Path file, final Runnable onChange) {
        final SettingsWatch watch =
                new SettingsWatch(
                        Objects.requireNonNull(file, "file is null"),
                        Objects.requireNonNull(onChange, "onChange is null"));
        final Thread thread = new Thread(watch::run, "settings-watch");
        thread.setDaemon(true);
        thread.start();
        return watch;
    }

    /** Looks at the file once. */
    synchronized void look() {
        final Optional<FileTime> now = modified();
        if (now.isPresent() && !now.equals(seen)) {
            seen = now;
            onChange.run();
        }
    }

    private void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS);
                look();
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A file that is being replaced may be missing for a moment; the next look finds it. */
    private Optional<FileTime> modified() {
        try {
            return Optional.of(Files.getLastModifiedTime(file));
        } catch (final IOException e) {
            return Optional.empty();
        }
    }
}
