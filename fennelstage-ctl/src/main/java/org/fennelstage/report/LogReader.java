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

/**
 * Reads structured log lines.
 *
 * <p>What collects logs often puts the VM's name before each line; the last word before the line is
 * taken for it. Lines that are no event are counted and passed over. Not thread-safe.
 */
public final class LogReader {

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
     * Returns the events read so far.
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

    private static Map<String, String> fields(final JsonNode node) {
        final Map<String, String> fields = new HashMap<>();
        node.fields()
                .forEachRemaining(
                        field -> {
                            if (field.getValue().isValueNode()) {
                                fields.put(field.getKey(), field.getValue().asText());
                            }
                        });
        return fields;
    }
}
