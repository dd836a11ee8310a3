package org.fennelstage.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class EventTest {

    private static final Path CATALOGUE = Path.of("..", "docs", "LOG-EVENTS.md");

    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(Event.values()).map(Event::number)).doesNotHaveDuplicates();
    }

    @Test
    void catalogueListsExactlyTheEventsWithTheirLevelAndText() throws IOException {
        final String catalogue = Files.readString(CATALOGUE);
        for (final Event event : Event.values()) {
            assertThat(catalogue)
                    .contains(
                            "| "
                                    + event.code()
                                    + " | "
                                    + event.level()
                                    + " | "
                                    + event.text()
                                    + " |");
        }
        final long rows = catalogue.lines().filter(l -> l.startsWith("| FS")).count();
        assertThat(rows).isEqualTo(Event.values().length);
    }
}
