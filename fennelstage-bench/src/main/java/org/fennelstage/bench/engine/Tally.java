package org.fennelstage.bench.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What callers of one kind got. Not thread-safe. */
public final class Tally {

    private static final double LATE_SHARE = 1 / 3.0;
    private static final double POOR_SHARE = 0.05;

    private final Kind kind;
    private final List<Double> firstMillis = new ArrayList<>();
    private int asked;
    private int sends;
    private int inTime;
    private int late;
    private int poor;
    private double earned;

    Tally(final Kind kind) {
        this.kind = kind;
    }

    void onArrival() {
        asked++;
    }

    void onSend() {
        sends++;
    }

    void onAnswer(final double millis, final boolean goodEnough) {
        firstMillis.add(millis);
        final boolean isLate = millis > kind.objectiveMillis();
        if (isLate) {
            late++;
        } else {
            inTime++;
        }
        if (!goodEnough) {
            poor++;
        }
        earned += kind.worth() * (goodEnough ? 1 : POOR_SHARE) * (isLate ? LATE_SHARE : 1);
    }

    public Kind kind() {
        return kind;
    }

    /**
     * Returns the share of what is owed that was earned.
     *
     * @return a number in [0, 1]
     */
    public double share() {
        return earned / owed();
    }

    double owed() {
        return Math.max(1, asked) * kind.worth();
    }

    double earned() {
        return earned;
    }

    /**
     * Returns the share of requests that were answered late or not at all.
     *
     * @return a number in [0, 1]
     */
    public double missed() {
        return 1 - (double) inTime / Math.max(1, asked);
    }

    /**
     * Returns the sends for each request.
     *
     * @return one or more
     */
    public double sendsPerRequest() {
        return (double) sends / Math.max(1, asked);
    }

    /**
     * Returns the time to the first token that a part of the answers stays below.
     *
     * @param part the part, in [0, 1]
     * @return milliseconds, zero without answers
     */
    public double firstMillis(final double part) {
        Collections.sort(firstMillis);
        return firstMillis.isEmpty() ? 0 : firstMillis.get((int) (part * (firstMillis.size() - 1)));
    }

    @Override
    public String toString() {
        return String.format(
                "%-10s asked %5d  worth %.3f  late %4d  poor %4d  sends %.2f  p50 %5.0f  p99 %6.0f",
                kind.name(),
                asked,
                share(),
                late,
                poor,
                sendsPerRequest(),
                firstMillis(0.5),
                firstMillis(0.99));
    }
}
