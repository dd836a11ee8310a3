package org.fennelstage.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServiceReportTest {

    private final StringBuilder log = new StringBuilder();
    private int millis;

    private void line(final String code, final String request, final String... fields) {
        millis += 100;
        log.append("  1.0 edge-1 {\"@timestamp\":\"2026-03-09T16:38:")
                .append(String.format("%02d.%03dZ", millis / 1_000, millis % 1_000))
                .append("\",\"message\":\"x\",\"event\":\"")
                .append(code)
                .append("\",\"request\":\"")
                .append(request)
                .append('"');
        for (int i = 0; i < fields.length; i += 2) {
            log.append(",\"").append(fields[i]).append("\":\"").append(fields[i + 1]).append('"');
        }
        log.append("}\n");
    }

    private void sent(final String request) {
        line("FS4012", request, "route", "drafts", "server", "i-1", "model", "small");
    }

    private void finished(final String request, final String outcome, final String firstByte) {
        line(
                "FS4014",
                request,
                "route",
                "drafts",
                "outcome",
                outcome,
                "status",
                outcome.equals("answered") ? "200" : "504",
                "first_byte_ms",
                firstByte,
                "objective_ms",
                "2000",
                "elapsed_ms",
                "3000");
    }

    private ServiceReport report() throws Exception {
        final LogReader reader = new LogReader();
        reader.read(new BufferedReader(new StringReader(log.toString())), "file");
        return ServiceReport.of(reader.lines());
    }

    private Cause cause(final String request) throws Exception {
        return report().find(request).orElseThrow().cause();
    }

    @Test
    void eachRequestHasTheFirstCauseThatApplies() throws Exception {
        sent("in-time");
        finished("in-time", "answered", "500");
        sent("waited");
        finished("waited", "answered", "2500");
        sent("larger");
        line("FS4015", "larger", "model", "small", "confidence", "20", "asked_next", "large");
        sent("larger");
        finished("larger", "answered", "2600");
        sent("dark");
        line("FS4013", "dark", "detail", "i-1 silent for 900 ms");
        sent("dark");
        finished("dark", "timeout", "0");
        sent("broken");
        line("FS4013", "broken", "detail", "i-1 RESPONDING: connection closed");
        finished("broken", "stream_broken", "300");
        sent("gone");
        finished("gone", "caller_gone", "0");
        sent("killed");
        line("FS4011", "refused", "reason", "not_configured");
        assertThat(cause("in-time")).isEqualTo(Cause.NONE);
        assertThat(cause("waited")).isEqualTo(Cause.WAITED);
        assertThat(cause("larger")).isEqualTo(Cause.LARGER_MODEL);
        assertThat(cause("dark")).isEqualTo(Cause.DARK_SERVER);
        assertThat(cause("broken")).isEqualTo(Cause.BROKEN_ANSWER);
        assertThat(cause("gone")).isEqualTo(Cause.CALLER_GONE);
        assertThat(cause("killed")).isEqualTo(Cause.VM_ENDED);
        assertThat(cause("refused")).isEqualTo(Cause.REFUSED);
    }

    @Test
    void everyTableCountsEachRequestOnce() throws Exception {
        for (int i = 0; i < 30; i++) {
            sent("r" + i);
            finished("r" + i, i % 3 == 0 ? "timeout" : "answered", "400");
        }
        final ServiceReport report = report();
        assertThat(report.all().requests()).isEqualTo(30);
        assertThat(report.all().inTime()).isEqualTo(20);
        for (final var rows : List.of(report.byRoute(), report.byVm(), report.bySecond())) {
            assertThat(rows.values().stream().mapToInt(ServiceReport.Row::requests).sum())
                    .isEqualTo(30);
        }
        assertThat(report.byVm()).containsOnlyKeys("edge-1");
    }

    @Test
    void burnRateIsOneIfExactlyTheErrorBudgetIsUsed() throws Exception {
        for (int i = 0; i < 20; i++) {
            sent("r" + i);
            finished("r" + i, i == 0 ? "timeout" : "answered", "400");
        }
        assertThat(report().all().burnRate(0.95)).isBetween(0.99, 1.01);
    }

    @Test
    void linesThatAreNotEventsAreCountedAndSkipped() throws Exception {
        sent("r1");
        log.append("no json\n{\"cut\":\n{\"other\":1}\n");
        final LogReader reader = new LogReader();
        reader.read(new BufferedReader(new StringReader(log.toString())), "file");
        assertThat(reader.lines()).hasSize(1);
        assertThat(reader.skipped()).isEqualTo(3);
    }

    /** Guards against running out of memory on the logs of many VMs. */
    @Test
    void eventsAndFieldsThatNoReportUsesAreDiscarded() throws Exception {
        sent("r1");
        line("FS4016", "r1", "server", "i-1");
        line("FS2015", "-", "server", "i-1");
        final LogReader reader = new LogReader();
        reader.read(new BufferedReader(new StringReader(log.toString())), "file");
        assertThat(reader.lines()).hasSize(1);
        assertThat(reader.lines().get(0).fields())
                .containsOnlyKeys("request", "route", "server", "model");
        assertThat(reader.skipped()).isZero();
    }

    @Test
    void explainDescribesTheEventsAndTheCause() throws Exception {
        sent("r1");
        line("FS4013", "r1", "detail", "i-1 silent for 900 ms");
        sent("r1");
        finished("r1", "timeout", "0");
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        final ReportCommand command = command(out);
        assertThat(command.explain("r1")).isTrue();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("sent to backend server i-1")
                .contains("conclusion: a backend server was dark");
        assertThat(command.explain("unknown")).isFalse();
    }

    @Test
    void reportInEachFormatNamesTheRouteAndHasNoLinks() throws Exception {
        sent("r1");
        finished("r1", "timeout", "0");
        for (final ReportCommand.Format format : ReportCommand.Format.values()) {
            final ByteArrayOutputStream out = new ByteArrayOutputStream();
            command(out).report(format);
            assertThat(out.toString(StandardCharsets.UTF_8))
                    .contains("drafts")
                    .doesNotContain("http");
        }
    }

    private ReportCommand command(final ByteArrayOutputStream out) throws Exception {
        return ReportCommand.read(
                List.of(),
                new ByteArrayInputStream(log.toString().getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out, true, StandardCharsets.UTF_8));
    }
}
