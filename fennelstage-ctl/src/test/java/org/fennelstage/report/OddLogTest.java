package org.fennelstage.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Logs with odd lines, as of a process that ended while it wrote; the others must be read. */
class OddLogTest {

    private static final String SENT =
            """
            edge-1 {"@timestamp":"2026-03-09T16:38:01Z","event":"FS4012","request":"sound",\
            "route":"drafts","server":"i-1","model":"small"}
            """;

    private static final String FINISHED =
            """
            edge-1 {"@timestamp":"2026-03-09T16:38:02Z","event":"FS4014","request":"sound",\
            "route":"drafts","outcome":"answered","status":"200","first_byte_ms":"500",\
            "objective_ms":"2000","elapsed_ms":"900"}
            """;

    private static final List<String> ODD_VALUES =
            List.of(
                    "",
                    "-1",
                    "NaN",
                    "1e400",
                    "999999999999999999",
                    "-999999999999999999",
                    "99999999999999999999",
                    "2026-02-30T00:00:00Z",
                    "+1000000000-12-31T23:59:59Z",
                    "-1000000000-01-01T00:00:00Z",
                    "1970-01-01T00:00:00Z",
                    "\\u0000",
                    "%s%n",
                    "x".repeat(10_000));

    @TempDir private Path folder;

    private String report(final byte[] log) throws Exception {
        final Path file = Files.write(folder.resolve("vm.log"), log);
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        final ReportCommand command =
                ReportCommand.read(
                        List.of(file), InputStream.nullInputStream(), new PrintStream(out, true));
        command.report(ReportCommand.Format.TEXT);
        command.report(ReportCommand.Format.JSON);
        assertThat(command.explain("sound")).isTrue();
        command.explain("odd");
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Guards against one byte that is no UTF-8 and ends the reading of a file. */
    @Test
    void bytesThatAreNoTextDoNotEndTheReading() throws Exception {
        final byte[] odd = {(byte) 0xff, (byte) 0xc3, '\n', 0, '\n', (byte) 0xe2, (byte) 0x82};
        final ByteArrayOutputStream log = new ByteArrayOutputStream();
        log.writeBytes(odd);
        log.write('\n');
        log.writeBytes((SENT + FINISHED).getBytes(StandardCharsets.UTF_8));
        log.writeBytes(odd);
        assertThat(report(log.toByteArray())).contains("drafts");
    }

    /** Guards against a value or a line that ends the report on all other requests. */
    @Test
    void oddValuesAndLinesDoNotEndTheReport() throws Exception {
        for (final String line : List.of(SENT, FINISHED)) {
            for (final String sound :
                    List.of("2026-03-09T16:38:0", "FS401", "drafts", "i-1", "200", "500", "2000")) {
                for (final String value : ODD_VALUES) {
                    final String odd =
                            line.replace("sound", "odd")
                                    .replaceAll(
                                            "\"" + sound + "[^\"]*\"",
                                            "\"" + value.replace("\\", "\\\\") + "\"");
                    assertThat(report((SENT + odd + FINISHED).getBytes(StandardCharsets.UTF_8)))
                            .as(sound + " -> " + value)
                            .contains("drafts");
                }
            }
        }
        for (final String odd :
                List.of(
                        "{",
                        "}{",
                        "{}",
                        "{\"event\":7}",
                        "{\"event\":{}}",
                        "x {\"a\":" + "[".repeat(100_000),
                        "{\"event\":" + "9".repeat(2_000) + "}",
                        "{\"event\":1e999999999}",
                        FINISHED.substring(0, 80))) {
            assertThat(report((SENT + odd + "\n" + FINISHED).getBytes(StandardCharsets.UTF_8)))
                    .contains("drafts");
        }
    }
}
