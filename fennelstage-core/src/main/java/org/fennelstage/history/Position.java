package org.fennelstage.history;

import java.util.Comparator;

/**
 * A position in the store's history of writes: an era and a revision.
 *
 * <p>A store that is restored from an older copy begins a new era and assigns the lost revisions
 * again, so the same revision can name two different writes. Without the era, a new order could
 * appear older than a known one and be ignored, and a watch could silently miss writes.
 *
 * <p>Invariant: positions are ordered by era, then by revision; {@code a.reaches(b)} is true only
 * within one era. Immutable and thread-safe.
 *
 * <pre>{@code
 * Position.of(2, 70).isAfter(Position.of(1, 100))  // true
 * Position.of(2, 70).reaches(Position.of(1, 60))   // false: revision 60 of era 1 may be lost
 * }</pre>
 *
 * @param era the era, which rises with each restore from a copy; 0 if the store has no eras
 * @param revision the number of the write within its era
 */
public record Position(long era, long revision) implements Comparable<Position> {

    /** Precedes every write of every era. */
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
     * Returns whether this position is after another.
     *
     * @param other the other position
     * @return true if strictly after
     */
    public boolean isAfter(final Position other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns whether everything written up to this position includes the write at another
     * position.
     *
     * @param other the other position
     * @return true if both are of one era and the other is not after this one; false across eras,
     *     since writes of an earlier era may be lost
     */
    public boolean reaches(final Position other) {
        return era == other.era && revision >= other.revision;
    }

    /**
     * Returns whether the era of this position is before the era of another.
     *
     * @param other the other position
     * @return true if the other position is of a later era
     */
    public boolean isOfFormerEra(final Position other) {
        return era < other.era;
    }

    @Override
    public int compareTo(final Position other) {
        return ORDER.compare(this, other);
    }

    /** Returns {@code era/revision}, the form used in logs. */
    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
