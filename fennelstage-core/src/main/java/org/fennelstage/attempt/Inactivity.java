package org.fennelstage.attempt;

/**
 * Decides when an attempt is given up for want of bytes.
 *
 * <p>A worker without power, behind a cut or hanging sends neither bytes nor a reset. Two signs
 * tell it from one that is only busy: nothing comes for this request in the time that such an
 * answer takes, and nothing for any other request of this VM either; or answers that had begun all
 * stop together, which no load does to an engine that gives its running requests a token each step.
 *
 * <p>Answers the load of a data centre that is cut off while streams run: the second sign finds it
 * in {@link #TOGETHER_MILLIS}, also for requests whose long prompt would be waited for several
 * seconds. Immutable and thread-safe.
 *
 * @param requestMillis time since the last byte of this request, or since it was sent
 * @param serverMillis time since the last byte of the worker to this VM
 * @param stalledMillis how long all answers of the worker that had begun have been without a byte;
 *     zero if none has begun
 * @param begunResponses how many answers of the worker have begun and not ended
 */
public record Inactivity(
        long requestMillis, long serverMillis, long stalledMillis, int begunResponses) {

    /**
     * Silence of two or more begun answers together that speaks against their worker; milliseconds.
     * An engine reads a prompt of another request in chunks of some 2,000 tokens, 100 ms for its
     * largest model, between two steps; seven of them in a row without a token are not seen.
     */
    static final long TOGETHER_MILLIS = 700;

    /**
     * A single answer may stand still for other reasons: its memory was taken, its caller reads
     * slowly.
     */
    private static final int ENOUGH_ANSWERS = 2;

    /**
     * Tells whether the attempt is to be given up.
     *
     * @param patienceMillis how long such a request is waited for by itself
     * @return true if the worker is taken for dead
     */
    public boolean exceeds(final long patienceMillis) {
        final boolean stalledTogether =
                begunResponses >= ENOUGH_ANSWERS && stalledMillis >= TOGETHER_MILLIS;
        return stalledTogether || Math.min(requestMillis, serverMillis) >= patienceMillis;
    }
}
