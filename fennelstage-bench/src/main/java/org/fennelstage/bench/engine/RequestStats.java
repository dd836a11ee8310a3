package org.fennelstage.bench.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Collects the outcomes of all requests of one kind. Not thread-safe. */
public final class RequestStats {

    /** Factor on the value of a response that begins after the latency objective. */
    private static final double LATE_VALUE_FACTOR = 1 / 3.0;

    /** Factor on the value of an answer that is not good enough. */
    private static final double POOR_VALUE_FACTOR = 0.05;

    private final RequestKind kind;
    private final List<Double> firstTokenMillis = new ArrayList<>();
    private int requests;
    private int attempts;
    private int onTime;
    private int late;
    private int poor;
    private double earnedValue;

    RequestStats(final RequestKind kind) {
        this.kind = kind;
    }

    void onArrival() {
        requests++;
    }

    void onAttempt() {
        attempts++;
    }

    void onResponse(final double millisToFirstToken, final boolean goodAnswer) {
        firstTokenMillis.add(millisToFirstToken);
        final boolean isLate = millisToFirstToken > kind.objectiveMillis();
        if (isLate) {
            late++;
        } else {
            onTime++;
        }
        if (!goodAnswer) {
            poor++;
        }
        earnedValue +=
                kind.value()
                        * (goodAnswer ? 1 : POOR_VALUE_FACTOR)
                        * (isLate ? LATE_VALUE_FACTOR : 1);
    }

    public RequestKind kind() {
        return kind;
    }

    /**
     * Returns the value of all responses as a share of the largest possible value.
     *
     * @return the share, in [0, 1]
     */
    public double valueShare() {
        return earnedValue / maxValue();
    }

    /** Returns the value if every request gets a good answer in time; at least of one request. */
    double maxValue() {
        return Math.max(1, requests) * kind.value();
    }

    double earnedValue() {
        return earnedValue;
    }

    /**
     * Returns the share of requests whose response was late or missing.
     *
     * @return the share, in [0, 1]
     */
    public double missedShare() {
        return 1 - (double) onTime / Math.max(1, requests);
    }

    /**
     * Returns the mean number of attempts per request.
     *
     * @return the number, at least one if there were requests
     */
    public double attemptsPerRequest() {
        return (double) attempts / Math.max(1, requests);
    }

    /**
     * Returns a quantile of the time to the first token.
     *
     * @param quantile the quantile, in [0, 1]
     * @return the time, zero without responses; milliseconds
     */
    public double firstTokenMillis(final double quantile) {
        Collections.sort(firstTokenMillis);
        return firstTokenMillis.isEmpty()
                ? 0
                : firstTokenMillis.get((int) (quantile * (firstTokenMillis.size() - 1)));
    }

    @Override
    public String toString() {
        return String.format(
                "%-10s requests %5d  value %.3f  late %4d  poor %4d  attempts %.2f"
                        + "  p50 %5.0f  p99 %6.0f",
                kind.name(),
                requests,
                valueShare(),
                late,
                poor,
                attemptsPerRequest(),
                firstTokenMillis(0.5),
                firstTokenMillis(0.99));
    }
}
