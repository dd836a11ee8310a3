package org.fennelstage.backend;

import java.util.random.RandomGenerator;

/**
 * Selects a backend server for a request. Implementations hold no state except a source of
 * randomness.
 */
@FunctionalInterface
public interface ServerSelector {

    /** The index that means that no backend server may be selected. */
    int NONE = -1;

    /**
     * Selects a backend server.
     *
     * @param loads the load of the backend servers
     * @param prefix the hash of the prompt's prefix
     * @return the server's index, or {@link #NONE}
     */
    int choose(ServerLoads loads, long prefix);

    /**
     * Returns a selector that picks a backend server uniformly at random.
     *
     * @param random the source of randomness
     * @return the selector
     */
    static ServerSelector random(final RandomGenerator random) {
        return (loads, prefix) -> {
            int seen = 0;
            int chosen = NONE;
            for (int i = 0; i < loads.size(); i++) {
                if (!loads.isExcluded(i) && random.nextInt(++seen) == 0) {
                    chosen = i;
                }
            }
            return chosen;
        };
    }

    /**
     * Returns a selector that picks the backend server with the lowest utilisation, and breaks ties
     * at random.
     *
     * @param random the source of randomness
     * @return the selector
     */
    static ServerSelector leastLoad(final RandomGenerator random) {
        return (loads, prefix) -> {
            int ties = 0;
            int chosen = NONE;
            double least = Double.POSITIVE_INFINITY;
            for (int i = 0; i < loads.size(); i++) {
                if (loads.isExcluded(i)) {
                    continue;
                }
                final double utilisation = loads.utilisation(i);
                if (utilisation < least) {
                    least = utilisation;
                    ties = 0;
                }
                if (utilisation == least && random.nextInt(++ties) == 0) {
                    chosen = i;
                }
            }
            return chosen;
        };
    }

    /**
     * Returns a selector that picks the backend server with the highest affinity to the prefix
     * among those whose utilisation is at most {@code bound} times the mean, or the least utilised
     * one if there is none. Prompts with a common prefix thus share one prompt cache, and a popular
     * prefix overflows to other servers instead of queueing.
     *
     * @param bound the largest utilisation as a multiple of the mean; above 1
     * @return the selector
     */
    static ServerSelector boundedAffinity(final double bound) {
        return (loads, prefix) -> {
            int candidates = 0;
            double sum = 0;
            for (int i = 0; i < loads.size(); i++) {
                if (!loads.isExcluded(i)) {
                    candidates++;
                    sum += loads.utilisation(i);
                }
            }
            final double mean = candidates == 0 ? 0 : sum / candidates;
            int chosen = NONE;
            int leastUtilised = NONE;
            long highest = Long.MIN_VALUE;
            double least = Double.POSITIVE_INFINITY;
            for (int i = 0; i < loads.size(); i++) {
                if (loads.isExcluded(i)) {
                    continue;
                }
                final double utilisation = loads.utilisation(i);
                if (utilisation < least) {
                    least = utilisation;
                    leastUtilised = i;
                }
                final long affinity = loads.affinity(i, prefix);
                if (utilisation <= bound * mean && affinity >= highest) {
                    highest = affinity;
                    chosen = i;
                }
            }
            return chosen == NONE ? leastUtilised : chosen;
        };
    }

    /**
     * Finds the backend servers with the highest affinity to a prefix.
     *
     * @param loads the backend servers
     * @param prefix the hash of the prompt's prefix
     * @param best receives the servers' indexes in descending order of affinity, then {@link #NONE}
     *     if there are fewer servers than places
     */
    static void firstByAffinity(final ServerLoads loads, final long prefix, final int[] best) {
        java.util.Arrays.fill(best, NONE);
        final long[] affinities = loads.affinityBuffer(best.length);
        int found = 0;
        for (int i = 0; i < loads.size(); i++) {
            if (loads.isExcluded(i)) {
                continue;
            }
            final long affinity = loads.affinity(i, prefix);
            if (found == best.length && affinity <= affinities[found - 1]) {
                continue;
            }
            int place = found < best.length ? found++ : found - 1;
            while (place > 0 && affinities[place - 1] < affinity) {
                affinities[place] = affinities[place - 1];
                best[place] = best[place - 1];
                place--;
            }
            affinities[place] = affinity;
            best[place] = i;
        }
    }
}
