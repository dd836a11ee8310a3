package org.fennelstage.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SubCommandTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private Exit run(final String... args) {
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
    void eachCommandSaysHowItIsCalledAndHowItEnds() {
        for (final SubCommand command : SubCommand.ALL) {
            assertThat(run(command.name(), "--help")).as(command.name()).isEqualTo(Exit.DONE);
            assertThat(printed())
                    .contains("fennelctl " + command.usage(), command.purpose(), "exit codes: 0");
        }
    }

    @Test
    void helpWithoutACommandListsAllOfThem() {
        assertThat(run("--help")).isEqualTo(Exit.DONE);
        final String text = printed();
        SubCommand.ALL.forEach(c -> assertThat(text).contains("fennelctl " + c.usage()));
    }

    @Test
    void helpForAnUnknownCommandIsAMistakeOfTheCaller() {
        assertThat(run("fly", "--help")).isEqualTo(Exit.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("unknown command 'fly'");
    }

    @Test
    void aCommandWithoutItsStoreShowsTheOverview() {
        assertThat(run("plan", "folder")).isEqualTo(Exit.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .contains("--store IP:PORT is missing", "fennelctl check DIR");
    }
}
