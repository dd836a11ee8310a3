package org.fennelstage.speed;

import java.util.OptionalDouble;

/**
 * Measures the time per event of one stream after its first event, in samples of half a second.
 *
 * <p>The longest pause of a sample is left out: a backend server that reads the prompt of another
 * request stops its streams for a moment, which says nothing about its speed.
 *
 * <p>Invariant: each pause between two events counts in at most one sample. Not thread-safe.
 */
public final class EventTimer {

    /**
     * Length of a sample; milliseconds. Two samples a second of each stream, so that a backend
     * server that becomes slow is found out within about a second.
     */
    static final long SAMPLE_MILLIS = 500;

    /** Pauses in a sample at least, so that two are left without the longest one. */
    private static final int MIN_PAUSES = 3;

    private boolean begun;
    private long beginMillis;
    private long lastMillis;
    private long longestMillis;
    private int pauses;

    /**
     * Records an event.
     *
     * @param nowMillis the current time; milliseconds
     * @return the time per event of the sample that this event completes, above zero; milliseconds;
     *     empty if it completes none
     */
    public OptionalDouble onEvent(final long nowMillis) {
        if (!begun) {
            begun = true;
            beginMillis = nowMillis;
        } else {
            pauses++;
            longestMillis = Math.max(longestMillis, nowMillis - lastMillis);
        }
        lastMillis = nowMillis;
        return nowMillis - beginMillis < SAMPLE_MILLIS ? OptionalDouble.empty() : sample();
    }

    /**
     * Records the end of the stream.
     *
     * @return the time per event since the last sample, above zero; milliseconds; empty if there
     *     were too few events
     */
    public OptionalDouble onEnd() {
        return sample();
    }

    /**
     * Records that the stream is not read for a while; its events since the last sample are left
     * out.
     */
    public void onPaused() {
        begun = false;
        longestMillis = 0;
        pauses = 0;
    }

    /** Events that arrive together show no time between them and give no sample. */
    private OptionalDouble sample() {
        if (pauses < MIN_PAUSES) {
            return OptionalDouble.empty();
        }
        final long millis = lastMillis - beginMillis - longestMillis;
        final double perEvent = millis / (double) (pauses - 1);
        beginMillis = lastMillis;
        longestMillis = 0;
        pauses = 0;
        return perEvent > 0 ? OptionalDouble.of(perEvent) : OptionalDouble.empty();
    }

    @Override
    public String toString() {
        return "EventTimer[pauses=" + pauses + ", millis=" + (lastMillis - beginMillis) + "]";
    }
}
