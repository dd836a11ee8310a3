package org.fennelstage.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * A revision of an object in the store; without a value it is a tombstone, which marks a deletion.
 *
 * <p>Immutable and thread-safe, provided that nobody changes the bytes after construction.
 *
 * @param key the key
 * @param revision the revision of the write that set or deleted the value
 * @param value the bytes, empty for a tombstone
 */
public record StoredObject(ObjectKey key, Revision revision, Optional<byte[]> value) {

    public StoredObject {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(revision, "revision is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns an object with a value.
     *
     * @param key the key
     * @param revision the revision of the write
     * @param value the bytes, not copied; they must not be changed afterwards
     * @return the object
     */
    public static StoredObject of(
            final ObjectKey key, final Revision revision, final byte[] value) {
        return new StoredObject(key, revision, Optional.of(value));
    }

    /**
     * Returns a tombstone.
     *
     * @param key the key
     * @param revision the revision of the deletion
     * @return the object
     */
    public static StoredObject tombstone(final ObjectKey key, final Revision revision) {
        return new StoredObject(key, revision, Optional.empty());
    }
}
