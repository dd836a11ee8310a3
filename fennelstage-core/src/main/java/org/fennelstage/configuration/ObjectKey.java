package org.fennelstage.configuration;

import java.util.Objects;

/**
 * The key of an object in the store: path segments joined by {@code '/'}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param path the full path, without a leading or trailing slash
 */
public record ObjectKey(String path) implements Comparable<ObjectKey> {

    public ObjectKey {
        Objects.requireNonNull(path, "path is null");
        if (path.isEmpty() || path.startsWith("/") || path.endsWith("/")) {
            throw new IllegalArgumentException("invalid object key '" + path + "'");
        }
    }

    /**
     * Returns the key with these path segments.
     *
     * @param segments the segments
     * @return the key
     */
    public static ObjectKey of(final String... segments) {
        return new ObjectKey(String.join("/", segments));
    }

    /**
     * Returns the last segment.
     *
     * @return the name
     */
    public String name() {
        return path.substring(path.lastIndexOf('/') + 1);
    }

    @Override
    public int compareTo(final ObjectKey other) {
        return path.compareTo(other.path);
    }

    @Override
    public String toString() {
        return path;
    }
}
