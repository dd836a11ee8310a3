package org.fennelstage.crash;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * What a request asks, and for whom, in 64 bits: by it a request that comes again is recognised
 * though each arrival has an id of its own, and at whichever VM it arrives.
 *
 * <p>Laws: equal content gives equal fingerprints at every VM; {@code parse(f.toString())} is
 * {@code f}. Immutable and thread-safe.
 *
 * <pre>{@code
 * Fingerprint.of("a.example", "/notes/7", "key", body).toString()  // "03f9c1d2a4b5e607"
 * }</pre>
 *
 * @param bits the hash
 */
public record Fingerprint(long bits) {

    private static final Pattern TEXT = Pattern.compile("[0-9a-f]{16}");

    /**
     * Returns the fingerprint of a request.
     *
     * @param host the host that the caller named
     * @param target path and query
     * @param caller who asks: the caller's key, empty if it has none
     * @param body the body
     * @return the fingerprint
     */
    public static Fingerprint of(
            final String host, final String target, final String caller, final byte[] body) {
        Objects.requireNonNull(body, "body is null");
        final HashStream64 stream = Hashing.komihash5_0().hashStream();
        stream.putString(host).putString(target).putString(caller);
        return new Fingerprint(stream.putByteArray(body).getAsLong());
    }

    /**
     * Reads a fingerprint.
     *
     * @param text 16 hexadecimal digits
     * @return the fingerprint
     * @throws IllegalArgumentException if the text is anything else
     */
    public static Fingerprint parse(final String text) {
        if (!TEXT.matcher(text).matches()) {
            throw new IllegalArgumentException("no fingerprint: " + text);
        }
        return new Fingerprint(Long.parseUnsignedLong(text, 16));
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(bits);
    }
}
