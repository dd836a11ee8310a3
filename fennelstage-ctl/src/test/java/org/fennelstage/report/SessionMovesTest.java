package org.fennelstage.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SessionMovesTest {

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
    void aSessionThatChangesItsVersionIsFoundWithBothVms() {
        final SessionMoves moves =
                SessionMoves.of(
                        List.of(sent(300, "vm-2", "s", "v2"), sent(100, "vm-1", "s", "v1")));
        assertThat(moves.all()).hasSize(1);
        assertThat(moves.all().get(0).atAnotherVm()).isTrue();
        assertThat(moves.tell())
                .containsExactly(
                        "session s went from v1 to v2 after 200 ms: request r300 at vm-2, "
                                + "before it vm-1; by DRAWN",
                        "changes of version within a session: 1, 1 of them at another VM; "
                                + "sessions that changed more than once: 0");
    }

    @Test
    void aSessionThatGoesToAndFroIsCounted() {
        final SessionMoves moves =
                SessionMoves.of(
                        List.of(
                                sent(100, "vm-1", "s", "v1"),
                                sent(200, "vm-2", "s", "v2"),
                                sent(300, "vm-1", "s", "v1")));
        assertThat(moves.all()).hasSize(2);
        assertThat(moves.tell()).last().asString().endsWith("changed more than once: 1");
    }

    @Test
    void requestsWithoutSessionAndSessionsThatStayAreNoMoves() {
        final SessionMoves moves =
                SessionMoves.of(
                        List.of(
                                sent(100, "vm-1", "-", "v1"),
                                sent(200, "vm-1", "-", "v2"),
                                sent(300, "vm-1", "s", "v2"),
                                sent(400, "vm-2", "s", "v2"),
                                sent(500, "vm-2", "t", "v1")));
        assertThat(moves.all()).isEmpty();
    }
}
