package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SettingsWatchTest {

    @TempDir private Path folder;

    @Test
    void reportsEachChangeOnceAndIgnoresMissingFile() throws IOException {
        final Path file = Files.writeString(folder.resolve("settings.json"), "{}");
        final AtomicInteger changes = new AtomicInteger();
        final SettingsWatch watch = SettingsWatch.start(file, changes::incrementAndGet);
        watch.check();
        assertThat(changes).hasValue(0);
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000));
        watch.check();
        watch.check();
        assertThat(changes).hasValue(1);
        Files.delete(file);
        watch.check();
        assertThat(changes).hasValue(1);
    }

    /** Guards against changes that are not read any more after one that could not be applied. */
    @ParameterizedTest
    @MethodSource("failures")
    void aChangeThatCannotBeAppliedDoesNotEndTheWatch(final Throwable failure) throws Exception {
        final Path file = Files.writeString(folder.resolve("settings.json"), "{}");
        final BlockingQueue<Integer> changes = new LinkedBlockingQueue<>();
        SettingsWatch.start(
                file,
                () -> {
                    changes.add(changes.size());
                    throwUnchecked(failure);
                },
                1);
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000));
        assertThat(changes.poll(10, TimeUnit.SECONDS)).isNotNull();
        Files.setLastModifiedTime(file, FileTime.fromMillis(2_000));
        assertThat(changes.poll(10, TimeUnit.SECONDS)).isNotNull();
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("unexpected"), new OutOfMemoryError("Java heap space"));
    }

    private static void throwUnchecked(final Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }
}
