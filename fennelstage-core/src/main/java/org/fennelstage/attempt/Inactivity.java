package org.fennelstage.attempt;

/**
 * How long an attempt and its backend server have been inactive; decides when the attempt times
 * out.
 *
 * <p>A server that has lost power, is cut off by the network or hangs sends neither bytes nor a
 * reset. Two signs distinguish it from a busy server. Either neither this request nor any other
 * request of this VM at the server got a byte within the timeout. Or all begun responses of the
 * server have stalled together, which load does not cause: an engine generates a token for every
 * running request in each step. The second sign detects a cut-off data centre within {@link
 * #COMMON_STALL_MILLIS}, also for a request whose long prompt has a timeout of several seconds.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestMillis time since the last byte for this request, or since it was sent;
 *     milliseconds
 * @param serverMillis time since the last byte from the server to this VM; milliseconds
 * @param stalledMillis for how long none of the server's begun responses has received a byte;
 *     milliseconds; zero if none has begun
 * @param begunResponses how many responses of the server have begun and not ended
 */
public record Inactivity(
        long requestMillis, long serverMillis, long stalledMillis, int begunResponses) {

    /**
     * Duration of a common stall of the begun responses after which the server is treated as
     * failed; milliseconds. An engine processes the prompts of other requests in chunks that take
     * about 100 ms between two steps, so a busy server does not stall for so long.
     */
    static final long COMMON_STALL_MILLIS = 700;

    /** A single response may stall for other reasons, such as eviction or a slow caller. */
    private static final int MIN_RESPONSES = 2;

    /**
     * Returns whether the attempt has timed out.
     *
     * @param timeoutMillis the timeout of inactivity for such a request; milliseconds
     * @return true if the server is to be treated as failed
     */
    public boolean exceeds(final long timeoutMillis) {
        final boolean stalledTogether =
                begunResponses >= MIN_RESPONSES && stalledMillis >= COMMON_STALL_MILLIS;
        return stalledTogether || Math.min(requestMillis, serverMillis) >= timeoutMillis;
    }
}
