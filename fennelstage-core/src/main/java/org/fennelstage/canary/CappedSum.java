package org.fennelstage.canary;

import java.util.HashMap;
import java.util.Map;
import org.fennelstage.id.BackendServerId;

/**
 * A cumulative sum (CUSUM) of log likelihood ratios that never falls below zero, so that good
 * responses do not hide a version that becomes bad later.
 *
 * <p>Invariant: since the sum was last zero, one backend server has added at most a given amount. A
 * single server may be broken, which says nothing about its version. Not thread-safe.
 */
final class CappedSum {

    private final double maxPerServer;
    private final Map<BackendServerId, Double> added = new HashMap<>();
    private double sum;

    /**
     * Creates a sum of zero.
     *
     * @param maxPerServer the largest amount of one backend server
     */
    CappedSum(final double maxPerServer) {
        this.maxPerServer = maxPerServer;
    }

    /** Adds evidence against the version from the responses of a backend server. */
    void increase(final BackendServerId server, final double amount) {
        final double before = added.getOrDefault(server, 0.0);
        final double after = Math.min(maxPerServer, before + amount);
        added.put(server, after);
        sum += after - before;
    }

    /** Adds evidence for the version. */
    void decrease(final double amount) {
        sum = Math.max(0, sum - amount);
        if (sum == 0) {
            added.clear();
        }
    }

    double value() {
        return sum;
    }
}
