package org.fennelstage.configuration;

/**
 * The position of a write in the object API's single order of writes.
 *
 * <p>Law: of two values of one key, the one with the higher revision is the newer. Immutable and
 * thread-safe.
 *
 * @param value the position; 0 stands before every write
 */
public record Revision(long value) implements Comparable<Revision> {

    /** Before every write. */
    public static final Revision NONE = new Revision(0);

    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("negative revision: " + value);
        }
    }

    /**
     * Returns the revision with this position.
     *
     * @param value the position
     * @return the revision
     */
    public static Revision of(final long value) {
        return value == 0 ? NONE : new Revision(value);
    }

    /**
     * Tells whether this is newer than another.
     *
     * @param other the other
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
