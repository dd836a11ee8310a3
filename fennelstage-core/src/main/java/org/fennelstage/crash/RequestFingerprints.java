package org.fennelstage.crash;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The fingerprints by which a request that crashes backend servers is recognised: that of its whole
 * content, and those of the parts of its prompt that it may share with other requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param content the fingerprint of the whole request
 * @param parts the fingerprints of the shared parts, in the order of the prompt; empty without a
 *     prompt
 */
public record RequestFingerprints(Fingerprint content, List<Fingerprint> parts) {

    public RequestFingerprints {
        Objects.requireNonNull(content, "content is null");
        parts = List.copyOf(parts);
    }

    /**
     * Returns the fingerprints of a request without shared parts.
     *
     * @param content the fingerprint of the whole request
     * @return the fingerprints
     */
    public static RequestFingerprints of(final Fingerprint content) {
        return new RequestFingerprints(content, List.of());
    }

    /**
     * Returns all fingerprints.
     *
     * @return that of the content, then those of the parts
     */
    public Stream<Fingerprint> all() {
        return Stream.concat(Stream.of(content), parts.stream());
    }
}
