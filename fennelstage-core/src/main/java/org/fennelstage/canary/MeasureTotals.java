package org.fennelstage.canary;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.fennelstage.id.BackendServerId;

/**
 * What one VM has seen of a new version by one measure since the order: numbers that only grow, so
 * that a message that is lost is made up for by the next.
 *
 * <p>Immutable and thread-safe.
 *
 * @param goodResponses the number of good responses
 * @param good their evidence for the version; hundredths of a log likelihood ratio
 * @param bad the evidence of bad responses against the version, by backend server; hundredths of a
 *     log likelihood ratio
 */
public record MeasureTotals(long goodResponses, long good, Map<BackendServerId, Long> bad) {

    /** Nothing seen. */
    public static final MeasureTotals NONE = new MeasureTotals(0, 0, Map.of());

    /** Units of a log likelihood ratio of 1. */
    static final double UNITS = 100;

    public MeasureTotals {
        Objects.requireNonNull(bad, "bad is null");
        bad = Map.copyOf(bad);
    }

    /** Returns these totals with one more good response. */
    MeasureTotals plusGood(final double amount) {
        return new MeasureTotals(goodResponses + 1, good + units(amount), bad);
    }

    /** Returns these totals with one more bad response of a backend server. */
    MeasureTotals plusBad(final BackendServerId server, final double amount) {
        final Map<BackendServerId, Long> sums = new HashMap<>(bad);
        sums.merge(server, units(amount), Long::sum);
        return new MeasureTotals(goodResponses, good, sums);
    }

    /** Returns the larger of each number; those of the later message, whichever came first. */
    MeasureTotals max(final MeasureTotals other) {
        final Map<BackendServerId, Long> sums = new HashMap<>(bad);
        other.bad.forEach((server, sum) -> sums.merge(server, sum, Math::max));
        return new MeasureTotals(
                Math.max(goodResponses, other.goodResponses), Math.max(good, other.good), sums);
    }

    private static long units(final double amount) {
        return Math.round(amount * UNITS);
    }
}
