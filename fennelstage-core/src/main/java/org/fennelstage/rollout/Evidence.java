package org.fennelstage.rollout;

import java.util.Arrays;
import java.util.Objects;

/**
 * What is known of a candidate: how many requests it got, and per signal how many were judged and
 * how many of those were bad.
 *
 * <p>Laws: {@link #plus} is commutative and associative with {@link #none()} as identity; {@link
 * #max} is commutative, associative and idempotent, so a sender may repeat its running totals.
 * Immutable and thread-safe.
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
     * Returns the evidence of no request.
     *
     * @return the evidence
     */
    public static Evidence none() {
        return NONE;
    }

    /**
     * Returns evidence with these totals.
     *
     * @param exposed the requests sent to the candidate
     * @param judged the judged requests, by ordinal of {@link Signal}
     * @param bad the bad ones among them, by ordinal of {@link Signal}
     * @return the evidence
     * @throws IllegalArgumentException if an array has another length
     */
    public static Evidence of(final long exposed, final long[] judged, final long[] bad) {
        Objects.requireNonNull(judged, "judged is null");
        Objects.requireNonNull(bad, "bad is null");
        if (judged.length != SIGNALS || bad.length != SIGNALS) {
            throw new IllegalArgumentException("one total per signal is needed");
        }
        return new Evidence(exposed, judged.clone(), bad.clone());
    }

    /**
     * Adds one request sent to the candidate.
     *
     * @return the larger evidence
     */
    public Evidence plusExposed() {
        return new Evidence(exposed + 1, judged, bad);
    }

    /**
     * Adds one judgement.
     *
     * @param signal what was judged
     * @param isBad whether it was bad
     * @return the larger evidence
     */
    public Evidence plus(final Signal signal, final boolean isBad) {
        final long[] nextJudged = judged.clone();
        final long[] nextBad = bad.clone();
        nextJudged[signal.ordinal()]++;
        nextBad[signal.ordinal()] += isBad ? 1 : 0;
        return new Evidence(exposed, nextJudged, nextBad);
    }

    /**
     * Adds evidence of other requests.
     *
     * @param other the other evidence
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
     * Returns the later of two running totals of the same sender.
     *
     * @param other the other total
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
     * Returns the judged totals by ordinal of {@link Signal}.
     *
     * @return a copy
     */
    public long[] judgedTotals() {
        return judged.clone();
    }

    /**
     * Returns the bad totals by ordinal of {@link Signal}.
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
