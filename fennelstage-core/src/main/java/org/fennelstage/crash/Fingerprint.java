package org.fennelstage.crash;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * A 64-bit hash of a request's content and caller, or of a part of a prompt. It identifies equal
 * requests, or requests with the same part, at every VM; each arrives with a request id of its own.
 *
 * <p>Invariants: equal content gives equal fingerprints at every VM; {@code parse(f.toString())}
 * equals {@code f}. Immutable and thread-safe.
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
     * @param host the host that the request names
     * @param target path and query
     * @param caller the caller's key; empty if it has none
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
     * Returns the fingerprint of a part of a prompt.
     *
     * @param id identifies the content of the part
     * @return the fingerprint
     */
    public static Fingerprint ofPromptPart(final String id) {
        Objects.requireNonNull(id, "id is null");
        return new Fingerprint(
                Hashing.komihash5_0().hashStream().putString("part").putString(id).getAsLong());
    }

    /**
     * Parses a fingerprint.
     *
     * @param text 16 lower-case hexadecimal digits
     * @return the fingerprint
     * @throws IllegalArgumentException if the text has another form
     */
    public static Fingerprint parse(final String text) {
        if (!TEXT.matcher(text).matches()) {
            throw new IllegalArgumentException(
                    "fingerprint is not 16 lower-case hexadecimal digits: " + text);
        }
        return new Fingerprint(Long.parseUnsignedLong(text, 16));
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(bits);
    }
}
