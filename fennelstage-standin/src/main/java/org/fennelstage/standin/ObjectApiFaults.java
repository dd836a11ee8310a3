package org.fennelstage.standin;

/**
 * The faults that the object API stand-in injects.
 *
 * <p>Immutable and thread-safe.
 *
 * @param down whether calls are aborted without a response and without effect
 * @param delayMillis the delay of each response, in milliseconds
 * @param lostAnswers the share of writes, in [0, 1], that take effect but get no response
 * @param staleReads the share of reads, in [0, 1], that return the previous revision
 */
public record ObjectApiFaults(
        boolean down, long delayMillis, double lostAnswers, double staleReads) {

    /** Injects no faults. */
    public static final ObjectApiFaults NONE = new ObjectApiFaults(false, 0, 0, 0);
}
