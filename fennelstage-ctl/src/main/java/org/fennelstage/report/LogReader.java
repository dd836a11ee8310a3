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
 * Reads structured log lines and keeps those that speak of a request.
 *
 * <p>The log of a large fleet is long: of 64 VMs it grows by some 1,800 lines a second on a calm
 * day. What no report reads is not kept: the other events, and of each line the logger's own fields
 * and the message, which says all fields once more.
 *
 * <p>What collects logs often puts the VM's name before each line; the last word before the line is
 * taken for it. Lines that are no event are counted and passed over. Not thread-safe.
 */
public final class LogReader {

    /** Refused, sent, failed, finished, dropped: the events of one request. */
    private static final Pattern REQUEST_EVENT = Pattern.compile("FS401[1-5]");

    /** What the logger adds to each line. */
    private static final Set<String> NOT_KEPT =
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
     * Reads lines to their end.
     *
     * @param reader the lines
     * @param source names the VM where a line does not
     * @throws IOException if they cannot be read
     */
    public void read(final BufferedReader reader, final String source) throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            take(text, source);
        }
    }

    /**
     * Returns the events of requests read so far.
     *
     * @return the events, in the order of reading
     */
    public List<LogLine> lines() {
        return List.copyOf(lines);
    }

    /**
     * Returns how many lines were no event.
     *
     * @return the count
     */
    public int skipped() {
        return skipped;
    }

    private void take(final String text, final String source) {
        final int begin = text.indexOf('{');
        if (begin < 0) {
            skipped++;
            return;
        }
        try {
            final JsonNode node = json.readTree(text.substring(begin));
            final String code = node.path("event").asText("");
            if (code.isEmpty()) {
                skipped++;
                return;
            }
            final Instant at = Instant.parse(node.path("@timestamp").asText(""));
            if (!REQUEST_EVENT.matcher(code).matches()) {
                return;
            }
            lines.add(new LogLine(at, vm(text.substring(0, begin), source), code, fields(node)));
        } catch (final JsonProcessingException | DateTimeParseException e) {
            // A line cut off by the end of its process, or of another program: counted, since one
            // in the middle of a file means that the log is damaged.
            skipped++;
        }
    }

    private static String vm(final String prefix, final String source) {
        final String[] words = prefix.strip().split("\\s+");
        final String last = words[words.length - 1];
        return last.isEmpty() ? source : last;
    }

    private static boolean isKept(final String field) {
        return !NOT_KEPT.contains(field);
    }

    private static Map<String, String> fields(final JsonNode node) {
        final Map<String, String> fields = new HashMap<>();
        node.fields()
                .forEachRemaining(
                        field -> {
                            if (isKept(field.getKey()) && field.getValue().isValueNode()) {
                                fields.put(field.getKey(), field.getValue().asText());
                            }
                        });
        return fields;
    }
}
