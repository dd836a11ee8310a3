package org.fennelstage.store;

import java.util.Objects;

/** The text of a page as the store sent it. Immutable and thread-safe. */
public final class PageText {

    private final byte[] data;

    private PageText(final byte[] data) {
        this.data = data;
    }

    /**
     * Returns a text.
     *
     * @param bytes the text as sent; not copied, and not to be changed
     * @return the text
     */
    public static PageText of(final byte[] bytes) {
        return new PageText(Objects.requireNonNull(bytes, "bytes is null"));
    }

    /**
     * Returns the text as sent.
     *
     * @return the bytes, not to be changed
     */
    public byte[] bytes() {
        return data;
    }

    /**
     * Returns the length of the text.
     *
     * @return the length; bytes
     */
    public int length() {
        return data.length;
    }

    @Override
    public String toString() {
        return "PageText[" + data.length + " bytes]";
    }
}
