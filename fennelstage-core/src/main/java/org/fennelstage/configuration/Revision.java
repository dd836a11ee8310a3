package org.fennelstage.configuration;

/**
 * The number of a write in the store's total order of writes.
 *
 * <p>Invariant: of two values of one key, the one with the higher revision is newer. Immutable and
 * thread-safe.
 *
 * @param value the number; 0 precedes every write
 */
public record Revision(long value) implements Comparable<Revision> {

    /** Precedes every write. */
    public static final Revision NONE = new Revision(0);

    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("negative revision: " + value);
        }
    }

    /**
     * Returns the revision with this number.
     *
     * @param value the number
     * @return the revision
     */
    public static Revision of(final long value) {
        return value == 0 ? NONE : new Revision(value);
    }

    /**
     * Returns whether this revision is newer than another.
     *
     * @param other the other revision
     * @return true if strictly newer
     */
    public boolean isAfter(final Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(final Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
