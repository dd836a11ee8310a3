package org.fennelstage.attempt;

/**
 * Estimates the latency of one service's backend servers by the length of the prompt, and derives
 * the timeouts of inactivity from it. All estimates are exponentially weighted moving averages.
 *
 * <p>Not thread-safe.
 */
public final class LatencyEstimator {

    /** Weight of a new sample; about the last twenty samples count. */
    private static final double WEIGHT = 0.05;

    /** Fixed cost of a response, in prompt tokens; avoids huge estimates from short prompts. */
    private static final int FIXED_TOKENS = 500;

    /** Estimate before the first sample, above the usual one; milliseconds per token. */
    private static final double INITIAL_MILLIS_PER_TOKEN = 0.1;

    /**
     * Smallest timeout of inactivity; milliseconds. Between two events of a stream, engines process
     * long prompts of other requests, which takes several hundred milliseconds at full load.
     */
    private static final long MIN_TIMEOUT_MILLIS = 700;

    /** Timeout for the first byte as a multiple of the usual time; covers variations of load. */
    private static final double TIMEOUT_FACTOR = 4;

    /**
     * Weights of a sample below and above the estimate of the prefill time. Responses that waited
     * for other requests say little about the prefill time, so high samples weigh less; the
     * estimate approximates the tenth percentile.
     */
    private static final double WEIGHT_BELOW = 0.1;

    private static final double WEIGHT_ABOVE = 0.01;

    /** Estimate of the response time before the first response; milliseconds. */
    private static final double INITIAL_RESPONSE_MILLIS = 100;

    /**
     * Deviations above the mean within which most responses end, as in the retransmission timeout
     * of TCP (RFC 6298).
     */
    private static final double LIKELY_DEVIATIONS = 4;

    private static final int MIN_SAMPLES = 10;

    private int samples;
    private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;
    private double prefillMillisPerToken = INITIAL_MILLIS_PER_TOKEN;
    private double responseMillis = INITIAL_RESPONSE_MILLIS;
    private double deviationMillis = INITIAL_RESPONSE_MILLIS / 2;

    /**
     * Adds the time to the first byte of a response.
     *
     * @param millis the time; milliseconds
     * @param promptTokens the length of the prompt; zero for a plain service
     */
    public void onFirstByte(final long millis, final int promptTokens) {
        final double observed = millis / ((double) promptTokens + FIXED_TOKENS);
        millisPerToken += WEIGHT * (observed - millisPerToken);
        samples++;
        final double weight = observed < prefillMillisPerToken ? WEIGHT_BELOW : WEIGHT_ABOVE;
        prefillMillisPerToken +=
                Math.max(weight, 1.0 / samples) * (observed - prefillMillisPerToken);
    }

    /**
     * Returns whether there are enough samples to reject requests by {@link
     * #prefillMillisPerToken()}.
     *
     * @return true from the tenth response on
     */
    public boolean hasEnoughSamples() {
        return samples >= MIN_SAMPLES;
    }

    /**
     * Adds the duration of a complete response that may have waited for a slot. The wait is left
     * out, so that {@link #responseMillis()} does not grow with the queue.
     *
     * @param millis the time from sending the request to the end of the response; milliseconds
     * @param aheadPerSlot how many requests had to end before it could start, per slot of the
     *     backend server; each of them takes as long as this one; zero if it did not wait
     */
    public void onEnd(final long millis, final double aheadPerSlot) {
        final double difference = millis / (1 + aheadPerSlot) - responseMillis;
        deviationMillis += WEIGHT * (Math.abs(difference) - deviationMillis);
        responseMillis += WEIGHT * difference;
    }

    /**
     * Returns how long an otherwise idle backend server takes to process one token of a prompt.
     *
     * @return the time; milliseconds per token
     */
    public double prefillMillisPerToken() {
        return prefillMillisPerToken;
    }

    /**
     * Returns how long a request usually occupies a slot of a backend server.
     *
     * @return the time; milliseconds
     */
    public double responseMillis() {
        return responseMillis;
    }

    /**
     * Returns the time within which a request that occupies a slot is likely to end. About half of
     * all requests take longer than {@link #responseMillis()}.
     *
     * @return the time; milliseconds
     */
    public double likelyResponseMillis() {
        return responseMillis + LIKELY_DEVIATIONS * deviationMillis;
    }

    /**
     * Returns how long to wait for the first byte before the backend server is treated as failed.
     *
     * @param promptTokens the length of the prompt; zero for a plain service
     * @return the timeout; milliseconds
     */
    public long firstByteTimeoutMillis(final int promptTokens) {
        return MIN_TIMEOUT_MILLIS
                + (long) (TIMEOUT_FACTOR * millisPerToken * ((double) promptTokens + FIXED_TOKENS));
    }

    /**
     * Returns how long to wait for the next byte of a response that has begun.
     *
     * @param maxPauseMillis the largest inter-token latency of a stream that meets its objective;
     *     milliseconds; zero if none is configured
     * @return the timeout; milliseconds
     */
    public long nextByteTimeoutMillis(final long maxPauseMillis) {
        return Math.max(MIN_TIMEOUT_MILLIS, maxPauseMillis);
    }
}
