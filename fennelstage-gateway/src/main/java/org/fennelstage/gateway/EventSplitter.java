package org.fennelstage.gateway;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Cuts a stream of bytes into whole server-sent events.
 *
 * <p>A worker may stop in the middle of an event. Had its first half gone to the caller, no other
 * worker could go on: the caller would see an event twice or torn. So only whole events leave here.
 *
 * <p>Law: the events, joined, are the bytes fed so far but for a tail without its blank line. Not
 * thread-safe.
 */
final class EventSplitter {

    private static final byte NEWLINE = '\n';
    private static final byte RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final BiConsumer<byte[], Optional<String>> onEvent;
    private byte[] pending = new byte[1024];
    private int length;
    private int scanned;
    private boolean lineEmpty = true;

    /**
     * Creates a splitter.
     *
     * @param onEvent takes each whole event and its id
     */
    EventSplitter(final BiConsumer<byte[], Optional<String>> onEvent) {
        this.onEvent = onEvent;
    }

    void feed(final ByteBuf bytes) {
        final int more = bytes.readableBytes();
        if (length + more > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(pending.length * 2, length + more));
        }
        bytes.getBytes(bytes.readerIndex(), pending, length, more);
        length += more;
        scan();
    }

    /** Tells whether bytes of an unfinished event are held. */
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

    private static Optional<String> id(final byte[] event) {
        final String text = new String(event, StandardCharsets.UTF_8);
        for (final String line : text.split("\\r?\\n")) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).strip());
            }
        }
        return Optional.empty();
    }
}
