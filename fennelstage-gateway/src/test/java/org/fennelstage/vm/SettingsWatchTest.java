package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

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
}
