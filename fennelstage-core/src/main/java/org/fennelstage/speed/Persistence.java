package org.fennelstage.speed;

/**
 * Counts the successive comparisons in which a backend server differs in the same direction. Not
 * thread-safe.
 */
final class Persistence {

    private double direction;
    private int comparisons;
    private int large;

    /**
     * Records a comparison in which the backend server differs.
     *
     * @param log the logarithm of its slowness
     * @param largeLog the logarithm from which on the difference is large
     * @return the successive comparisons with this direction
     */
    int next(final double log, final double largeLog) {
        if (Math.signum(log) != direction) {
            reset();
            direction = Math.signum(log);
        }
        comparisons++;
        large = Math.abs(log) > largeLog ? large + 1 : 0;
        return comparisons;
    }

    /** Returns the successive comparisons with a large difference in this direction. */
    int large() {
        return large;
    }

    /** Records a comparison in which the backend server does not differ. */
    void reset() {
        direction = 0;
        comparisons = 0;
        large = 0;
    }

    @Override
    public String toString() {
        return "Persistence[comparisons=" + comparisons + ", large=" + large + "]";
    }
}
