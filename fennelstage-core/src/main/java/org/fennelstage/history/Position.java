package org.fennelstage.history;

import java.util.Comparator;

/**
 * A position in the store's history of writes: an era and a revision.
 *
 * <p>A store that comes back from an older copy begins a new era. Its revisions go back and are
 * given out again, so that a revision alone names two different states: compared without its era, a
 * new order looks older than one long known and is ignored, and a watch from a revision that was
 * given out again misses everything in between without a sign of it.
 *
 * <p>Laws: positions are ordered by their era, then by their revision; {@code a.reaches(b)} holds
 * only within one era. Immutable and thread-safe.
 *
 * <pre>{@code
 * Position.of(2, 70).isAfter(Position.of(1, 100))  // true
 * Position.of(2, 70).reaches(Position.of(1, 60))   // false: 60 may have been lost
 * }</pre>
 *
 * @param era how often the store has come back from a copy, as it counts itself; 0 if it does not
 * @param revision the number of the write within its era
 */
public record Position(long era, long revision) implements Comparable<Position> {

    /** Before every write of every era. */
    public static final Position NONE = new Position(-1, -1);

    private static final Comparator<Position> ORDER =
            Comparator.comparingLong(Position::era).thenComparingLong(Position::revision);

    /**
     * Returns a position.
     *
     * @param era the era
     * @param revision the revision
     * @return the position
     */
    public static Position of(final long era, final long revision) {
        return new Position(era, revision);
    }

    /**
     * Tells whether this position is after another.
     *
     * @param other the other
     * @return true if strictly after
     */
    public boolean isAfter(final Position other) {
        return compareTo(other) > 0;
    }

    /**
     * Tells whether whoever knows everything up to this position knows what was written at another.
     *
     * @param other the other
     * @return true if both are of one era and the other is not after this one; what a former era
     *     wrote may be lost, and tells nothing of this one
     */
    public boolean reaches(final Position other) {
        return era == other.era && revision >= other.revision;
    }

    /**
     * Tells whether this position is of an era that has ended when another is known.
     *
     * @param other the other
     * @return true if the other is of a later era
     */
    public boolean isOfFormerEra(final Position other) {
        return era < other.era;
    }

    @Override
    public int compareTo(final Position other) {
        return ORDER.compare(this, other);
    }

    /** Returns the position as logs show it: era, slash, revision. */
    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
