package org.fennelstage.store;

import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * A response of the store as received, from which a page was decoded. Immutable and thread-safe as
 * long as nobody modifies the bytes passed to it.
 */
public final class PageText {

    private static final int BUFFER_BYTES = 8_192;

    private final byte[] data;
    private final int length;
    private final boolean compressed;

    private PageText(final byte[] data, final int length, final boolean compressed) {
        this.data = data;
        this.length = length;
        this.compressed = compressed;
    }

    /**
     * Returns a text.
     *
     * @param bytes the bytes, which are not copied
     * @return the text
     */
    public static PageText of(final byte[] bytes) {
        Objects.requireNonNull(bytes, "bytes is null");
        return new PageText(bytes, bytes.length, false);
    }

    /**
     * Returns the same text in a form that takes less memory.
     *
     * @return the compressed text
     */
    public PageText compress() {
        if (compressed) {
            return this;
        }
        final Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(data);
            deflater.finish();
            final ByteArrayOutputStream out = new ByteArrayOutputStream();
            final byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return new PageText(out.toByteArray(), length, true);
        } finally {
            // Frees memory outside the heap at once instead of at some garbage collection.
            deflater.end();
        }
    }

    /**
     * Returns the bytes as received. They must not be modified.
     *
     * @return the bytes
     */
    public byte[] bytes() {
        if (!compressed) {
            return data;
        }
        final Inflater inflater = new Inflater();
        try {
            inflater.setInput(data);
            final byte[] whole = new byte[length];
            int done = 0;
            while (done < length) {
                final int more = inflater.inflate(whole, done, length - done);
                if (more == 0) {
                    throw new IllegalStateException("compressed text is incomplete");
                }
                done += more;
            }
            return whole;
        } catch (final DataFormatException e) {
            throw new IllegalStateException("compressed text is corrupt", e);
        } finally {
            inflater.end();
        }
    }

    /**
     * Returns the length of the text.
     *
     * @return the length; bytes, uncompressed
     */
    public int length() {
        return length;
    }

    /**
     * Returns the memory that the text takes.
     *
     * @return the size; bytes
     */
    public int heldBytes() {
        return data.length;
    }

    @Override
    public String toString() {
        return "PageText[" + length + " bytes]";
    }
}
