package org.fennelstage.configuration;

/**
 * A digest of a configuration table. Tables with equal digests are equal, except for hash
 * collisions.
 *
 * <p>Immutable and thread-safe.
 *
 * @param highest the highest revision in the table
 * @param hash the sum of the hashes of all (key, revision) pairs, independent of their order
 */
public record Digest(Revision highest, long hash) {

    /** The digest of an empty table. */
    public static final Digest EMPTY = new Digest(Revision.NONE, 0);
}
