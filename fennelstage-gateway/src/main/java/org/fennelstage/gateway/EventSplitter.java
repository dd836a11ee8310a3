package org.fennelstage.gateway;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;

/**
 * Splits a byte stream into whole server-sent events.
 *
 * <p>Only whole events are emitted, so that a stream can be resumed on another backend server if
 * one fails in the middle of an event.
 *
 * <p>Invariant: the concatenated events equal the bytes fed so far, except for an unterminated
 * tail.
 *
 * <p>Not thread-safe.
 */
final class EventSplitter {

    private static final byte NEWLINE = '\n';
    private static final byte RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final Pattern LINE_END = Pattern.compile("\\r\\n|\\r|\\n");

    private final BiConsumer<byte[], Optional<String>> onEvent;
    private byte[] pending = new byte[1024];
    private int length;
    private int scanned;
    private boolean lineEmpty = true;

    /**
     * Creates a splitter.
     *
     * @param onEvent receives each whole event and its id
     */
    EventSplitter(final BiConsumer<byte[], Optional<String>> onEvent) {
        this.onEvent = onEvent;
    }

    void feed(final ByteBuf bytes) {
        final int added = bytes.readableBytes();
        if (length + added > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(pending.length * 2, length + added));
        }
        bytes.getBytes(bytes.readerIndex(), pending, length, added);
        length += added;
        scan();
    }

    /** Returns the size of the unfinished event that is buffered; bytes. */
    int pendingBytes() {
        return length;
    }

    /** Returns whether an unfinished event is buffered. */
    boolean hasPartial() {
        return length > 0;
    }

    private void scan() {
        int start = 0;
        while (scanned < length) {
            final byte next = pending[scanned++];
            if (next == NEWLINE && lineEmpty && scanned - start > 1) {
                emit(start, scanned);
                start = scanned;
            }
            if (next == NEWLINE) {
                lineEmpty = true;
            } else if (next != RETURN) {
                lineEmpty = false;
            }
        }
        System.arraycopy(pending, start, pending, 0, length - start);
        length -= start;
        scanned = length;
    }

    private void emit(final int from, final int to) {
        final byte[] event = Arrays.copyOfRange(pending, from, to);
        onEvent.accept(event, id(event));
    }

    /**
     * Returns the id of an event, one character for each byte: so it is sent in a header as the
     * bytes that were received. A carriage return ends a line, as everywhere in events.
     */
    private static Optional<String> id(final byte[] event) {
        final String text = new String(event, StandardCharsets.ISO_8859_1);
        for (final String line : LINE_END.split(text)) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).strip());
            }
        }
        return Optional.empty();
    }
}
