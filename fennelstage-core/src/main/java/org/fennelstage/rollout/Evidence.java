package org.fennelstage.rollout;

import java.util.Arrays;
import java.util.Objects;

/**
 * Counts for the new version of a rollout: the requests sent to it and, per {@link Signal}, the
 * requests that were judged and those judged bad.
 *
 * <p>Invariant: {@link #plus(Evidence)} is commutative and associative with {@link #none()} as
 * identity; {@link #max} is commutative, associative and idempotent, so a sender may send the same
 * running totals repeatedly. Immutable and thread-safe.
 */
public final class Evidence {

    private static final int SIGNALS = Signal.values().length;
    private static final Evidence NONE = new Evidence(0, new long[SIGNALS], new long[SIGNALS]);

    private final long exposed;
    private final long[] judged;
    private final long[] bad;

    private Evidence(final long exposed, final long[] judged, final long[] bad) {
        this.exposed = exposed;
        this.judged = judged;
        this.bad = bad;
    }

    /**
     * Returns evidence without any request.
     *
     * @return the evidence
     */
    public static Evidence none() {
        return NONE;
    }

    /**
     * Returns evidence with these totals.
     *
     * @param exposed the number of requests sent to the new version
     * @param judged the number of judged requests, by ordinal of {@link Signal}
     * @param bad the number of requests judged bad, by ordinal of {@link Signal}
     * @return the evidence
     * @throws IllegalArgumentException if an array does not have one element per signal
     */
    public static Evidence of(final long exposed, final long[] judged, final long[] bad) {
        Objects.requireNonNull(judged, "judged is null");
        Objects.requireNonNull(bad, "bad is null");
        if (judged.length != SIGNALS || bad.length != SIGNALS) {
            throw new IllegalArgumentException("expected " + SIGNALS + " totals, one per signal");
        }
        return new Evidence(exposed, judged.clone(), bad.clone());
    }

    /**
     * Adds one request sent to the new version.
     *
     * @return the sum
     */
    public Evidence plusExposed() {
        return new Evidence(exposed + 1, judged, bad);
    }

    /**
     * Adds one judged request.
     *
     * @param signal the signal on which it was judged
     * @param isBad whether it was judged bad
     * @return the sum
     */
    public Evidence plus(final Signal signal, final boolean isBad) {
        final long[] nextJudged = judged.clone();
        final long[] nextBad = bad.clone();
        nextJudged[signal.ordinal()]++;
        nextBad[signal.ordinal()] += isBad ? 1 : 0;
        return new Evidence(exposed, nextJudged, nextBad);
    }

    /**
     * Adds the evidence of other requests.
     *
     * @param other evidence of requests that are not counted here
     * @return the sum
     */
    public Evidence plus(final Evidence other) {
        final long[] nextJudged = judged.clone();
        final long[] nextBad = bad.clone();
        for (int i = 0; i < SIGNALS; i++) {
            nextJudged[i] += other.judged[i];
            nextBad[i] += other.bad[i];
        }
        return new Evidence(exposed + other.exposed, nextJudged, nextBad);
    }

    /**
     * Merges two running totals of the same sender.
     *
     * @param other the other running totals
     * @return the larger of each count
     */
    public Evidence max(final Evidence other) {
        final long[] nextJudged = judged.clone();
        final long[] nextBad = bad.clone();
        for (int i = 0; i < SIGNALS; i++) {
            nextJudged[i] = Math.max(nextJudged[i], other.judged[i]);
            nextBad[i] = Math.max(nextBad[i], other.bad[i]);
        }
        return new Evidence(Math.max(exposed, other.exposed), nextJudged, nextBad);
    }

    public long exposed() {
        return exposed;
    }

    public long judged(final Signal signal) {
        return judged[signal.ordinal()];
    }

    public long bad(final Signal signal) {
        return bad[signal.ordinal()];
    }

    /**
     * Returns the number of judged requests by ordinal of {@link Signal}.
     *
     * @return a copy
     */
    public long[] judgedTotals() {
        return judged.clone();
    }

    /**
     * Returns the number of requests judged bad by ordinal of {@link Signal}.
     *
     * @return a copy
     */
    public long[] badTotals() {
        return bad.clone();
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof Evidence that
                && exposed == that.exposed
                && Arrays.equals(judged, that.judged)
                && Arrays.equals(bad, that.bad);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * Long.hashCode(exposed) + Arrays.hashCode(judged)) + Arrays.hashCode(bad);
    }

    @Override
    public String toString() {
        return "Evidence[exposed="
                + exposed
                + ", judged="
                + Arrays.toString(judged)
                + ", bad="
                + Arrays.toString(bad)
                + "]";
    }
}
