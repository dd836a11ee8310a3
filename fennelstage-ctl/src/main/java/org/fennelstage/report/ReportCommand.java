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

/** The commands {@code report} and {@code explain} of {@code fennelctl}. Not thread-safe. */
public final class ReportCommand {

    /** The share of requests in time that the brief promises. */
    public static final double PROMISED = 0.95;

    /** How a report is written. */
    public enum Format {
        /** Tables for a terminal. */
        TEXT,
        /** For other programs. */
        JSON,
        /** One page with plots. */
        HTML
    }

    private final LogReader reader = new LogReader();
    private final PrintStream out;

    private ReportCommand(final PrintStream out) {
        this.out = out;
    }

    /**
     * Reads logs.
     *
     * @param files the files; none for standard input
     * @param in the standard input
     * @param out where reports go
     * @return the command, ready to report
     * @throws IOException if a file cannot be read
     */
    public static ReportCommand reading(
            final List<Path> files, final InputStream in, final PrintStream out)
            throws IOException {
        final ReportCommand command = new ReportCommand(out);
        if (files.isEmpty()) {
            command.reader.read(
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)), "stdin");
        }
        for (final Path file : files) {
            try (BufferedReader lines = Files.newBufferedReader(file)) {
                command.reader.read(lines, file.getFileName().toString());
            }
        }
        return command;
    }

    /**
     * Writes the report.
     *
     * @param format how
     * @throws IOException if a plot cannot be drawn
     */
    public void report(final Format format) throws IOException {
        final ServiceReport report = ServiceReport.of(reader.lines());
        out.print(
                switch (format) {
                    case TEXT -> TextReport.text(report, PROMISED) + sessions() + skipped();
                    case JSON -> TextReport.json(report, PROMISED);
                    case HTML -> HtmlReport.page(report, PROMISED);
                });
    }

    /**
     * Tells the story of one request.
     *
     * @param id its id
     * @return false if no line speaks of it
     */
    public boolean explain(final String id) {
        final Optional<RequestStory> story = ServiceReport.of(reader.lines()).find(id);
        story.ifPresent(s -> s.tell().forEach(out::println));
        return story.isPresent();
    }

    private String sessions() {
        return String.join(System.lineSeparator(), SessionMoves.of(reader.lines()).tell())
                + System.lineSeparator();
    }

    private String skipped() {
        return "lines that are no event: " + reader.skipped() + System.lineSeparator();
    }
}
