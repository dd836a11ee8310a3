package org.fennelstage.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SubCommandTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(final String... args) {
        return Main.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private String printed() {
        final String text = out.toString(StandardCharsets.UTF_8);
        out.reset();
        return text;
    }

    @Test
    void helpOfEachCommandShowsUsagePurposeAndExitCodes() {
        for (final SubCommand command : SubCommand.ALL) {
            assertThat(run(command.name(), "--help")).as(command.name()).isEqualTo(ExitCode.DONE);
            assertThat(printed())
                    .contains("fennelctl " + command.usage(), command.purpose(), "exit codes: 0");
        }
    }

    @Test
    void helpWithoutACommandListsAllCommands() {
        assertThat(run("--help")).isEqualTo(ExitCode.DONE);
        final String text = printed();
        SubCommand.ALL.forEach(c -> assertThat(text).contains("fennelctl " + c.usage()));
    }

    @Test
    void helpForAnUnknownCommandIsAUsageError() {
        assertThat(run("fly", "--help")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("unknown command 'fly'");
    }

    @Test
    void missingStoreOptionPrintsTheOverview() {
        assertThat(run("plan", "folder")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .contains("--store IP:PORT is missing", "fennelctl check DIR");
    }
}
