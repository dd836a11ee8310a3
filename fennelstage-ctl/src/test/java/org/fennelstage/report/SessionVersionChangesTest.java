package org.fennelstage.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SessionVersionChangesTest {

    private static LogLine sent(
            final long millis, final String vm, final String session, final String version) {
        return new LogLine(
                Instant.ofEpochMilli(millis),
                vm,
                "FS4012",
                Map.of(
                        "request",
                        "r" + millis,
                        "session",
                        session,
                        "service",
                        "models",
                        "version",
                        version,
                        "chosen_by",
                        "DRAWN"));
    }

    @Test
    void versionChangeNamesBothVms() {
        final SessionVersionChanges changes =
                SessionVersionChanges.of(
                        List.of(sent(300, "vm-2", "s", "v2"), sent(100, "vm-1", "s", "v1")));
        assertThat(changes.all()).hasSize(1);
        assertThat(changes.all().get(0).isAcrossVms()).isTrue();
        assertThat(changes.describe())
                .containsExactly(
                        "session s went from v1 to v2 after 200 ms: request r300 at vm-2, "
                                + "before it vm-1; by DRAWN",
                        "changes of version within a session: 1, 1 of them at another VM; "
                                + "sessions that changed more than once: 0");
    }

    @Test
    void sessionThatChangesBackIsCounted() {
        final SessionVersionChanges changes =
                SessionVersionChanges.of(
                        List.of(
                                sent(100, "vm-1", "s", "v1"),
                                sent(200, "vm-2", "s", "v2"),
                                sent(300, "vm-1", "s", "v1")));
        assertThat(changes.all()).hasSize(2);
        assertThat(changes.describe()).last().asString().endsWith("changed more than once: 1");
    }

    @Test
    void requestsWithoutSessionAndSessionsThatKeepTheirVersionAreIgnored() {
        final SessionVersionChanges changes =
                SessionVersionChanges.of(
                        List.of(
                                sent(100, "vm-1", "-", "v1"),
                                sent(200, "vm-1", "-", "v2"),
                                sent(300, "vm-1", "s", "v2"),
                                sent(400, "vm-2", "s", "v2"),
                                sent(500, "vm-2", "t", "v1")));
        assertThat(changes.all()).isEmpty();
    }
}
