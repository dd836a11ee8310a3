package org.fennelstage.speed;

import java.util.Optional;
import org.fennelstage.fleet.Pace;

/**
 * Measures the time per event of one stream after its first event, in samples of half a second.
 *
 * <p>The longest pause of a sample is left out: a backend server that reads the prompt of another
 * request stops its streams for a moment, which says nothing about its speed.
 *
 * <p>Events that arrive while the stream is paused, or within {@link #SAMPLE_MILLIS} after it is
 * resumed, give no sample: they waited in buffers and arrive faster than the server sent them.
 *
 * <p>Invariant: each pause between two events counts in at most one sample. Not thread-safe.
 */
public final class EventTimer {

    /**
     * Length of a sample; milliseconds. Two samples a second of each stream, so that a backend
     * server that becomes slow is detected within about a second.
     */
    static final long SAMPLE_MILLIS = 500;

    /** Pauses in a sample at least, so that two are left without the longest one. */
    private static final int MIN_PAUSES = 3;

    /**
     * A sample.
     *
     * @param millisPerEvent the time per event, above zero; milliseconds
     * @param weight the time that it covers over {@link Pace#HALF_LIFE_MILLIS}, at most 1: the
     *     samples of one stream depend on the same batch and VM, so a stream counts as at most one
     *     independent sample per half-life
     */
    public record Sample(double millisPerEvent, double weight) {}

    private boolean begun;
    private boolean paused;
    private long skipUntilMillis = Long.MIN_VALUE;
    private long beginMillis;
    private long lastMillis;
    private long longestMillis;
    private int pauses;

    /**
     * Records an event.
     *
     * @param nowMillis the current time; milliseconds
     * @return the sample that this event completes, empty if none
     */
    public Optional<Sample> onEvent(final long nowMillis) {
        if (paused || nowMillis < skipUntilMillis) {
            return Optional.empty();
        }
        if (!begun) {
            begun = true;
            beginMillis = nowMillis;
        } else {
            pauses++;
            longestMillis = Math.max(longestMillis, nowMillis - lastMillis);
        }
        lastMillis = nowMillis;
        return nowMillis - beginMillis < SAMPLE_MILLIS ? Optional.empty() : sample();
    }

    /**
     * Records the end of the stream.
     *
     * @return the sample of the events since the last one, empty if there were too few
     */
    public Optional<Sample> onEnd() {
        return sample();
    }

    /**
     * Records that the stream is not read for a while; its events since the last sample are left
     * out.
     */
    public void onPaused() {
        paused = true;
        begun = false;
        longestMillis = 0;
        pauses = 0;
    }

    /**
     * Records that the stream is read again after a pause; without one nothing changes.
     *
     * @param nowMillis the current time; milliseconds
     */
    public void onResumed(final long nowMillis) {
        if (paused) {
            paused = false;
            skipUntilMillis = nowMillis + SAMPLE_MILLIS;
        }
    }

    /** Events that arrive together show no time between them and give no sample. */
    private Optional<Sample> sample() {
        if (pauses < MIN_PAUSES) {
            return Optional.empty();
        }
        final long millis = lastMillis - beginMillis - longestMillis;
        final double perEvent = millis / (double) (pauses - 1);
        final double weight =
                Math.min(1, (lastMillis - beginMillis) / (double) Pace.HALF_LIFE_MILLIS);
        beginMillis = lastMillis;
        longestMillis = 0;
        pauses = 0;
        return perEvent > 0 ? Optional.of(new Sample(perEvent, weight)) : Optional.empty();
    }

    @Override
    public String toString() {
        return "EventTimer[pauses=" + pauses + ", millis=" + (lastMillis - beginMillis) + "]";
    }
}
