package org.fennelstage.configuration;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The newest known value of every configuration object, merged from the store and from peer
 * messages, which may arrive in any order and repeatedly.
 *
 * <p>Invariant: the revision of a key never decreases, so a stale read, a repeated watch response
 * or a late peer message cannot restore an old value. Tombstones are kept, so that a deletion
 * cannot be undone either.
 *
 * <p>Invariant: merging is commutative, associative and idempotent. Thread-safe; one monitor guards
 * the map and the digest.
 */
public final class ConfigurationTable {

    private final Map<ObjectKey, StoredObject> objects = new TreeMap<>();
    private Digest digest = Digest.EMPTY;

    private ConfigurationTable() {}

    /**
     * Returns an empty table.
     *
     * @return the table
     */
    public static ConfigurationTable empty() {
        return new ConfigurationTable();
    }

    /**
     * Merges objects into the table.
     *
     * @param incoming the objects
     * @return the objects that were newer than those in the table, in the given order
     */
    public synchronized List<StoredObject> merge(final Collection<StoredObject> incoming) {
        Objects.requireNonNull(incoming, "incoming is null");
        final List<StoredObject> accepted = new ArrayList<>();
        for (final StoredObject object : incoming) {
            if (accept(object)) {
                accepted.add(object);
            }
        }
        return accepted;
    }

    /**
     * Returns the digest of the table.
     *
     * @return the digest
     */
    public synchronized Digest digest() {
        return digest;
    }

    /**
     * Returns all objects newer than a revision, tombstones included.
     *
     * @param revision the revision
     * @return the objects, ordered by key
     */
    public synchronized List<StoredObject> since(final Revision revision) {
        return objects.values().stream().filter(o -> o.revision().isAfter(revision)).toList();
    }

    /**
     * Returns all objects, tombstones included.
     *
     * @return the objects, ordered by key
     */
    public synchronized List<StoredObject> all() {
        return List.copyOf(objects.values());
    }

    private boolean accept(final StoredObject object) {
        final StoredObject held = objects.get(object.key());
        if (held != null && !object.revision().isAfter(held.revision())) {
            return false;
        }
        objects.put(object.key(), object);
        final long removed = held == null ? 0 : hash(held);
        final Revision highest =
                object.revision().isAfter(digest.highest()) ? object.revision() : digest.highest();
        digest = new Digest(highest, digest.hash() - removed + hash(object));
        return true;
    }

    private static long hash(final StoredObject object) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(object.key().path())
                .putLong(object.revision().value())
                .getAsLong();
    }
}
