package org.fennelstage.canary;

import java.util.HashSet;
import java.util.Set;
import org.fennelstage.id.BackendServerId;

/**
 * Decides from responses whether a new version is worse than the current one.
 *
 * <p>Uses a cumulative sum (CUSUM) of log likelihood ratios that never falls below zero, so that
 * good responses do not hide a version that becomes bad later. Only responses of backend servers
 * count; broken connections and stopped servers are no evidence against a version.
 *
 * <p>Not thread-safe.
 */
public final class CanaryEvidence {

    /**
     * Sum from which the version is bad: odds of about 400 to 1, which two consecutive failures
     * reach if the current version rarely fails. In a large fleet, each VM sees few responses of
     * the new version before the fleet as a whole has exceeded the allowed share of failures, so
     * two must be enough.
     */
    private static final double BAD_SUM = 6;

    /** Number of backend servers with bad responses required, since a single one may be broken. */
    private static final int MIN_BAD_SERVERS = 2;

    /** Smallest failure rate that is assumed of a good version. */
    private static final double MIN_USUAL_RATE = 0.015;

    /**
     * How far the failure rate of a bad version exceeds that of a good one: the least excess that
     * matters to callers.
     */
    private static final double BAD_EXCESS = 0.3;

    /** Weight of a response of the current version in its failure rate and pace. */
    private static final double CURRENT_WEIGHT = 0.02;

    /** A response is bad if it is slower than the current version's pace by this factor. */
    private static final double SLOW_FACTOR = 3.5;

    /** Number of responses of the current version before its pace is compared. */
    private static final int MIN_PACE_SAMPLES = 10;

    private double currentFailureRate;
    private double currentPaceMillis;
    private int currentPaceSamples;
    private double sum;
    private int newResponses;
    private int newBadResponses;
    private final Set<BackendServerId> badServers = new HashSet<>();

    /**
     * Adds a response of the current version.
     *
     * @param failed whether its backend server reported a failure
     * @param paceMillis the time per event, or of the whole response; milliseconds; not positive if
     *     unknown
     */
    public void onCurrentVersion(final boolean failed, final double paceMillis) {
        currentFailureRate += CURRENT_WEIGHT * ((failed ? 1 : 0) - currentFailureRate);
        if (!failed && paceMillis > 0) {
            currentPaceSamples++;
            final double weight = Math.max(1.0 / currentPaceSamples, CURRENT_WEIGHT);
            currentPaceMillis += weight * (paceMillis - currentPaceMillis);
        }
    }

    /**
     * Adds a response of the new version.
     *
     * @param server its backend server
     * @param failed whether the server reported a failure
     * @param paceMillis the time per event, or of the whole response; milliseconds; not positive if
     *     unknown
     */
    public void onNewVersion(
            final BackendServerId server, final boolean failed, final double paceMillis) {
        final boolean slow =
                currentPaceSamples >= MIN_PACE_SAMPLES
                        && paceMillis > SLOW_FACTOR * currentPaceMillis;
        final boolean badResponse = failed || slow;
        final double usualRate = Math.max(MIN_USUAL_RATE, 1.5 * currentFailureRate);
        final double badRate = Math.min(0.95, usualRate + BAD_EXCESS);
        final double ratio = badResponse ? badRate / usualRate : (1 - badRate) / (1 - usualRate);
        sum = Math.max(0, sum + Math.log(ratio));
        newResponses++;
        if (badResponse) {
            newBadResponses++;
            badServers.add(server);
        }
    }

    /**
     * Returns whether the new version is bad by the present evidence.
     *
     * @return true until good responses have reduced the sum below its limit again
     */
    public boolean isBad() {
        return sum >= BAD_SUM && badServers.size() >= MIN_BAD_SERVERS;
    }

    @Override
    public String toString() {
        return "responses="
                + newResponses
                + " bad="
                + newBadResponses
                + " sum="
                + Math.round(sum * 10) / 10.0;
    }
}
