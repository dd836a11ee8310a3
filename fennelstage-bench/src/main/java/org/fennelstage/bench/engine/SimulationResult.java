package org.fennelstage.bench.engine;

import java.util.List;

/**
 * The result of a simulation.
 *
 * @param stats the statistics of each request kind, in the order of the setup
 * @param promptTokensRead the prompt tokens that all engines read, without those from a prompt
 *     cache
 */
public record SimulationResult(List<RequestStats> stats, long promptTokensRead) {

    public SimulationResult {
        stats = List.copyOf(stats);
    }

    /**
     * Returns the value of all responses as a share of the largest possible value.
     *
     * @return the share, in [0, 1]
     */
    public double valueShare() {
        final double earnedValue = stats.stream().mapToDouble(RequestStats::earnedValue).sum();
        return earnedValue / stats.stream().mapToDouble(RequestStats::maxValue).sum();
    }
}
