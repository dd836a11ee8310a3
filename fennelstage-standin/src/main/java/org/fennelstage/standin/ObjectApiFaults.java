package org.fennelstage.standin;

/**
 * How the object API stand-in misbehaves at present.
 *
 * <p>Immutable and thread-safe.
 *
 * @param down whether connections are closed without an answer or effect
 * @param delayMillis how long each answer takes
 * @param lostAnswers the share of writes, in [0, 1], whose effect stands but whose answer is lost
 * @param staleReads the share of reads, in [0, 1], that return the value before the newest
 */
public record ObjectApiFaults(
        boolean down, long delayMillis, double lostAnswers, double staleReads) {

    /** Works as it should. */
    public static final ObjectApiFaults NONE = new ObjectApiFaults(false, 0, 0, 0);
}
