package org.fennelstage.configuration;

import java.util.Objects;
import java.util.Optional;

/**
 * One value of one key as the object API holds it; without a value it is a tombstone.
 *
 * <p>The bytes are never changed after construction. Thread-safe.
 *
 * @param key the key
 * @param revision the revision of the write that set or deleted the value
 * @param value the value's bytes, empty for a tombstone
 */
public record StoredObject(ObjectKey key, Revision revision, Optional<byte[]> value) {

    public StoredObject {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(revision, "revision is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns a live value.
     *
     * @param key the key
     * @param revision the revision of the write
     * @param value the bytes, not changed afterwards
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
