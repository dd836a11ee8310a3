package org.fennelstage.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads structured log lines and keeps the events of requests.
 *
 * <p>To limit memory use, discards all other events, and of each event the message and the fields
 * that the logger adds.
 *
 * <p>Log collectors often prefix each line with the name of the VM: the last word before the JSON
 * object is taken as the name. Lines that are not events are counted and skipped. Not thread-safe.
 */
public final class LogReader {

    /** Codes of the events of a request: rejected, sent, failed, finished, answer dropped. */
    private static final Pattern REQUEST_EVENT = Pattern.compile("FS401[1-5]");

    /** Latest time of an event; differences of times up to it do not overflow. */
    private static final Instant LATEST = Instant.parse("9999-12-31T23:59:59Z");

    /** Fields that the logger adds to each line. */
    private static final Set<String> LOGGER_FIELDS =
            Set.of(
                    "@timestamp",
                    "@version",
                    "message",
                    "logger_name",
                    "thread_name",
                    "level",
                    "level_value",
                    "event");

    private final ObjectMapper json = new ObjectMapper();
    private final List<LogLine> lines = new ArrayList<>();
    private int skipped;

    /**
     * Reads all lines of a log.
     *
     * @param reader the lines
     * @param source the name to use as the VM's for lines without a prefix
     * @throws IOException if a line cannot be read
     */
    public void read(final BufferedReader reader, final String source) throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            parse(text, source);
        }
    }

    /**
     * Returns the events of requests read so far.
     *
     * @return the events, in the order in which they were read
     */
    public List<LogLine> lines() {
        return List.copyOf(lines);
    }

    /**
     * Returns the number of lines that were not events.
     *
     * @return the number of lines
     */
    public int skipped() {
        return skipped;
    }

    private void parse(final String text, final String source) {
        final int start = text.indexOf('{');
        if (start < 0) {
            skipped++;
            return;
        }
        try {
            final JsonNode node = json.readTree(text.substring(start));
            final String code = node.path("event").asText("");
            if (code.isEmpty()) {
                skipped++;
                return;
            }
            final Instant at = Instant.parse(node.path("@timestamp").asText(""));
            if (at.isBefore(Instant.EPOCH) || at.isAfter(LATEST)) {
                skipped++;
                return;
            }
            if (!REQUEST_EVENT.matcher(code).matches()) {
                return;
            }
            lines.add(new LogLine(at, vm(text.substring(0, start), source), code, fields(node)));
        } catch (final JsonProcessingException | DateTimeParseException e) {
            // The line is truncated, as when its process ended, or is from another program. It is
            // counted, since many such lines indicate a damaged log.
            skipped++;
        }
    }

    private static String vm(final String prefix, final String source) {
        final String[] words = prefix.strip().split("\\s+");
        final String last = words[words.length - 1];
        return last.isEmpty() ? source : last;
    }

    private static boolean isEventField(final String field) {
        return !LOGGER_FIELDS.contains(field);
    }

    private static Map<String, String> fields(final JsonNode node) {
        final Map<String, String> fields = new HashMap<>();
        node.fields()
                .forEachRemaining(
                        field -> {
                            if (isEventField(field.getKey()) && field.getValue().isValueNode()) {
                                fields.put(field.getKey(), field.getValue().asText());
                            }
                        });
        return fields;
    }
}
