package org.fennelstage.report;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** The {@code report} and {@code explain} commands of {@code fennelctl}. Not thread-safe. */
public final class ReportCommand {

    /** Fraction of requests that the service level objective requires to be served in time. */
    public static final double SLO_TARGET = 0.95;

    /** The format of a report. */
    public enum Format {
        /** Tables for a terminal. */
        TEXT,
        /** One JSON object. */
        JSON,
        /** One HTML page with a chart. */
        HTML
    }

    private final LogReader reader = new LogReader();
    private final PrintStream out;

    private ReportCommand(final PrintStream out) {
        this.out = out;
    }

    /**
     * Reads logs and returns a command that reports on them.
     *
     * @param files the log files; empty to read {@code in}
     * @param in the standard input
     * @param out the stream to print to
     * @return the command
     * @throws IOException if a file cannot be read
     */
    public static ReportCommand read(
            final List<Path> files, final InputStream in, final PrintStream out)
            throws IOException {
        final ReportCommand command = new ReportCommand(out);
        if (files.isEmpty()) {
            command.reader.read(lines(in), "stdin");
        }
        for (final Path file : files) {
            try (BufferedReader lines = lines(Files.newInputStream(file))) {
                command.reader.read(lines, file.getFileName().toString());
            }
        }
        return command;
    }

    /** Replaces bytes that are no UTF-8, as of a process that ended while it wrote. */
    private static BufferedReader lines(final InputStream in) {
        return new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    }

    /**
     * Prints the report.
     *
     * @param format the format
     * @throws IOException if the chart cannot be encoded
     */
    public void report(final Format format) throws IOException {
        final ServiceReport report = ServiceReport.of(reader.lines());
        out.print(
                switch (format) {
                    case TEXT ->
                            TextReport.text(report, SLO_TARGET) + versionChanges() + skippedLines();
                    case JSON -> TextReport.json(report, SLO_TARGET);
                    case HTML -> HtmlReport.page(report, SLO_TARGET);
                });
    }

    /**
     * Prints the events of one request and the cause of its delay or failure.
     *
     * @param id the id of the request
     * @return false if the logs contain no event of the request
     */
    public boolean explain(final String id) {
        final Optional<RequestTimeline> timeline = ServiceReport.of(reader.lines()).find(id);
        timeline.ifPresent(t -> t.describe().forEach(out::println));
        return timeline.isPresent();
    }

    private String versionChanges() {
        return String.join(
                        System.lineSeparator(), SessionVersionChanges.of(reader.lines()).describe())
                + System.lineSeparator();
    }

    private String skippedLines() {
        return "lines that are not events: " + reader.skipped() + System.lineSeparator();
    }
}
