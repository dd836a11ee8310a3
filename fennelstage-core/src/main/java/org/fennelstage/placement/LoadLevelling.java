package org.fennelstage.placement;

/**
 * Divides the requests that arrive before the next load reports over backend servers, so that their
 * loads relative to their capacities become as equal as possible.
 *
 * <p>Reported loads are outdated when they are used: if every VM chose the least loaded server,
 * that server would receive all requests until the next reports. If instead each VM draws the
 * server with the returned probabilities, the differences in load are just evened out by then.
 *
 * <p>Laws: the shares are not negative and add up to 1; of two servers with equal capacity, the one
 * with less load gets no smaller share; without arrivals the least loaded server gets everything,
 * and with many the shares approach those of the capacities. Stateless and thread-safe.
 *
 * <pre>{@code
 * shares(new double[] {0, 4}, new double[] {6, 6}, 0)   // {1, 0}
 * shares(new double[] {0, 4}, new double[] {6, 6}, 8)   // {0.75, 0.25}
 * }</pre>
 */
final class LoadLevelling {

    private LoadLevelling() {}

    /**
     * Returns the share of the arriving requests for each backend server.
     *
     * @param loads the requests that each backend server has
     * @param capacities how many requests each runs at a time, above 0; divided by its slowness
     * @param arrivals how many requests arrive at all of them together before the loads are
     *     reported again
     * @return the shares, in the same order; empty if there are no servers
     */
    static double[] shares(final double[] loads, final double[] capacities, final double arrivals) {
        final double[] shares = new double[loads.length];
        final int[] byLoad = sortedByRelativeLoad(loads, capacities);
        double level = 0;
        double capacity = 0;
        double load = 0;
        int filled = 0;
        while (filled < byLoad.length) {
            final int next = byLoad[filled];
            if (filled > 0 && level <= loads[next] / capacities[next]) {
                break;
            }
            capacity += capacities[next];
            load += loads[next];
            level = (arrivals + load) / capacity;
            filled++;
        }
        for (int i = 0; i < filled; i++) {
            final int server = byLoad[i];
            shares[server] =
                    arrivals == 0
                            ? 1.0 / filled
                            : (level * capacities[server] - loads[server]) / arrivals;
        }
        return shares;
    }

    /** Returns the indexes of the servers, sorted by insertion since there are few. */
    private static int[] sortedByRelativeLoad(final double[] loads, final double[] capacities) {
        final int[] sorted = new int[loads.length];
        for (int server = 0; server < loads.length; server++) {
            final double relative = loads[server] / capacities[server];
            int at = server;
            while (at > 0 && relative < loads[sorted[at - 1]] / capacities[sorted[at - 1]]) {
                sorted[at] = sorted[at - 1];
                at--;
            }
            sorted[at] = server;
        }
        return sorted;
    }
}
