package org.fennelstage.route;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events into the data of each event. Only {@code data} lines count,
 * as engines send no others. Not thread-safe.
 */
final class ServerEvents {

    private static final String DATA = "data:";
    private static final int MAX_LINE = 1024 * 1024;

    private final Consumer<String> onData;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    ServerEvents(final Consumer<String> onData) {
        this.onData = onData;
    }

    void feed(final ByteBuf bytes) {
        while (bytes.isReadable()) {
            final byte next = bytes.readByte();
            if (next == '\n') {
                endLine();
            } else if (line.size() < MAX_LINE) {
                line.write(next);
            }
        }
    }

    private void endLine() {
        final String text = line.toString(StandardCharsets.UTF_8).trim();
        line.reset();
        if (text.startsWith(DATA)) {
            onData.accept(text.substring(DATA.length()).trim());
        }
    }
}
