package org.fennelstage.route;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Parses a stream of server-sent events. Each {@code data} line is delivered as an event of its
 * own; other fields are ignored, and lines are truncated at a maximum length. Not thread-safe.
 */
final class ServerSentEventParser {

    private static final String DATA_FIELD = "data:";
    private static final int MAX_LINE_BYTES = 1024 * 1024;

    private final Consumer<String> onData;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    ServerSentEventParser(final Consumer<String> onData) {
        this.onData = onData;
    }

    void feed(final ByteBuf bytes) {
        while (bytes.isReadable()) {
            final byte next = bytes.readByte();
            if (next == '\n') {
                endLine();
            } else if (line.size() < MAX_LINE_BYTES) {
                line.write(next);
            }
        }
    }

    private void endLine() {
        final String text = line.toString(StandardCharsets.UTF_8).trim();
        line.reset();
        if (text.startsWith(DATA_FIELD)) {
            onData.accept(text.substring(DATA_FIELD.length()).trim());
        }
    }
}
