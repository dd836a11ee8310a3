package org.fennelstage.speed;

import java.util.HashSet;
import java.util.OptionalDouble;
import java.util.Set;
import org.fennelstage.id.BackendServerId;

/**
 * The usual time of one kind of request at this VM, over all backend servers, as a moving average
 * of the logarithm.
 *
 * <p>Ratios to it are free of how slow the VM itself is. Not thread-safe.
 */
final class UsualTime {

    /** Weight of a new sample; about the last twenty samples of weight 1 count. */
    private static final double WEIGHT = 0.05;

    /** Samples after which the average is usable; the first ones depend on the servers chosen. */
    private static final int MIN_SAMPLES = 5;

    /** Backend servers of which there must be a sample, so that one alone is not the usual time. */
    static final int MIN_SERVERS = 3;

    private final Set<BackendServerId> servers = new HashSet<>();
    private double totalWeight;
    private int samples;
    private double meanLog;

    /**
     * Adds a sample.
     *
     * @param server the backend server
     * @param minServers backend servers of which there must be samples, at most {@link
     *     #MIN_SERVERS}
     * @param weight the weight of the sample, above 0 and at most 1
     * @param millis the time, above zero; milliseconds
     * @return the natural logarithm of the time over the usual time before; empty while that is
     *     unknown
     */
    OptionalDouble onSample(
            final BackendServerId server,
            final int minServers,
            final double weight,
            final double millis) {
        final double log = Math.log(millis);
        final double excess = log - meanLog;
        final boolean usable = samples >= MIN_SAMPLES && servers.size() >= minServers;
        if (servers.size() < MIN_SERVERS) {
            servers.add(server);
        }
        samples = Math.min(MIN_SAMPLES, samples + 1);
        totalWeight = Math.min(1 / WEIGHT, totalWeight + weight);
        meanLog += weight / totalWeight * excess;
        return !usable ? OptionalDouble.empty() : OptionalDouble.of(excess);
    }

    @Override
    public String toString() {
        return "UsualTime[" + Math.exp(meanLog) + " ms, samples=" + samples + "]";
    }
}
