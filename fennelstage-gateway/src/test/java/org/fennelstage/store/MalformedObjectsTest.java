package org.fennelstage.store;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.Optional;
import org.fennelstage.history.Position;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class MalformedObjectsTest {

    private final ListAppender<ILoggingEvent> log = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger("fennelstage");
    private final MalformedObjects objects = MalformedObjects.empty("servers");

    @BeforeEach
    void startLog() {
        log.start();
        logger.addAppender(log);
    }

    @AfterEach
    void stopLog() {
        logger.detachAppender(log);
    }

    private static StoredValue<String> malformed(final String name, final String problem) {
        return new StoredValue<>(name, Position.of(0, 4), Optional.empty(), Optional.of(problem));
    }

    private List<String> lines() {
        return log.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    /** Guards against a line for each list that still has the object. */
    @Test
    void anObjectIsLoggedOnceUntilItChanges() {
        for (int i = 0; i < 3; i++) {
            objects.update(malformed("i-1", "no address"));
        }
        objects.update(malformed("i-1", "no port"));
        objects.update(
                new StoredValue<>("i-1", Position.of(0, 5), Optional.of("x"), Optional.empty()));
        assertThat(lines())
                .satisfiesExactly(
                        line -> assertThat(line).startsWith("FS2022 ").endsWith("no address"),
                        line -> assertThat(line).startsWith("FS2022 ").endsWith("no port"),
                        line -> assertThat(line).startsWith("FS2023 "));
    }

    /** Guards against lines at each list from objects whose names cannot be found. */
    @Test
    void objectsWithoutNamesAreLoggedOnceForEachProblem() {
        final List<StoredValue<String>> list =
                List.of(malformed("", "too deep"), malformed("", "too long"));
        for (int i = 0; i < 3; i++) {
            objects.retain(list);
            list.forEach(objects::update);
        }
        assertThat(lines()).hasSize(2);
    }

    /** Guards against texts of another writer that fill the log and memory, or forge a line. */
    @Test
    void namesAndProblemsAreCutAndStayInOneLine() {
        for (int i = 0; i < 3; i++) {
            objects.update(
                    malformed("n\nFS1001 " + "n".repeat(70_000), "p\r" + "p".repeat(70_000)));
        }
        assertThat(lines()).hasSize(1);
        assertThat(lines().get(0).length()).isLessThan(700);
        assertThat(lines().get(0)).doesNotContain("\n", "\r");
    }
}
