package org.fennelstage.canary;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * How often responses of the current version fail or are slow, by kind.
 *
 * <p>Slow responses of the current version count as well: when a network or this VM delays all
 * responses, those of the new version are no evidence against it. Not thread-safe.
 */
final class CurrentVersion {

    /** Smallest rate of failures that is assumed of a good version. */
    private static final double MIN_FAILURE_RATE = 0.015;

    /** Smallest rate of slow responses that is assumed of a good version. */
    private static final double MIN_SLOW_RATE = 0.02;

    /** How far a good version may exceed the rate of the current one. */
    private static final double MARGIN = 1.5;

    private static final double FAILURE_WEIGHT = 0.02;

    /** Larger than that of failures, since what delays responses comes and goes within seconds. */
    private static final double SLOW_WEIGHT = 0.05;

    /** Weight of a response in how much slower than usual responses are at present. */
    private static final double DIFFERENCE_WEIGHT = 0.25;

    /** Most that one response contributes to that. */
    private static final double MAX_DIFFERENCE = 2;

    /** Identifies a distribution of times. */
    private record Key(Measure measure, ResponseKind kind) {}

    private final Map<String, Double> failureRates = new HashMap<>();
    private final Map<Key, UsualTime> times = new HashMap<>();
    private final Map<Measure, Double> slowRates = new EnumMap<>(Measure.class);
    private double recentDifference;

    /** Adds whether a response failed. */
    void onOutcome(final ResponseKind kind, final boolean failed) {
        final double before = failureRates.getOrDefault(kind.route(), 0.0);
        failureRates.put(kind.route(), average(before, failed, FAILURE_WEIGHT));
    }

    /** Adds a time; milliseconds. */
    void onTime(final Measure measure, final ResponseKind kind, final double millis) {
        final UsualTime usual = times.computeIfAbsent(new Key(measure, kind), k -> new UsualTime());
        final OptionalDouble limit = usual.limitMillis();
        if (limit.isPresent()) {
            final boolean slow = millis >= limit.getAsDouble();
            slowRates.put(measure, average(slowRate(measure), slow, SLOW_WEIGHT));
            if (measure == Measure.PACE) {
                onDifference(usual.difference(millis));
            }
        }
        usual.add(millis);
    }

    private void onDifference(final double difference) {
        final double counted = Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, difference));
        recentDifference += DIFFERENCE_WEIGHT * (counted - recentDifference);
    }

    /**
     * Returns what the pace of a response of a new version says about the mean of the version, in
     * comparison with the present responses of the current one: more load slows both.
     *
     * @return a log likelihood ratio, above 0 if it speaks against the version; empty if too little
     *     is known of the kind
     */
    OptionalDouble meanEvidence(final ResponseKind kind, final double millis) {
        final UsualTime usual = times.get(new Key(Measure.PACE, kind));
        if (usual == null || usual.limitMillis().isEmpty()) {
            return OptionalDouble.empty();
        }
        final double difference = usual.difference(millis) - Math.max(0, recentDifference);
        return OptionalDouble.of(usual.meanEvidence(difference));
    }

    /**
     * Returns the time from which a response is slow.
     *
     * @return the time; milliseconds; empty if too little is known of the kind
     */
    OptionalDouble limitMillis(final Measure measure, final ResponseKind kind) {
        final UsualTime usual = times.get(new Key(measure, kind));
        return usual == null ? OptionalDouble.empty() : usual.limitMillis();
    }

    /** Returns the rate of bad responses that a good version may have; in (0, 1]. */
    double usualRate(final Measure measure, final ResponseKind kind) {
        final double rate =
                measure.isFailure()
                        ? Math.max(
                                MIN_FAILURE_RATE,
                                MARGIN * failureRates.getOrDefault(kind.route(), 0.0))
                        : Math.max(MIN_SLOW_RATE, MARGIN * slowRate(measure));
        return Math.min(1, rate);
    }

    private double slowRate(final Measure measure) {
        return slowRates.getOrDefault(measure, 0.0);
    }

    private static double average(final double rate, final boolean bad, final double weight) {
        return rate + weight * ((bad ? 1 : 0) - rate);
    }
}
