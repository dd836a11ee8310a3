package org.fennelstage.configuration;

/**
 * A summary of a configuration table: equal digests mean equal tables but for hash collisions.
 *
 * <p>Immutable and thread-safe.
 *
 * @param highest the highest revision held
 * @param hash the sum of the hashes of all (key, revision) pairs; independent of order
 */
public record Digest(Revision highest, long hash) {

    /** The digest of an empty table. */
    public static final Digest EMPTY = new Digest(Revision.NONE, 0);
}
