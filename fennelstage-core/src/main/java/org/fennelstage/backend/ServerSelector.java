package org.fennelstage.backend;

import java.util.random.RandomGenerator;

/** Chooses a worker for a request. Implementations are stateless but for their random source. */
@FunctionalInterface
public interface ServerSelector {

    /** No worker may be chosen. */
    int NONE = -1;

    /**
     * Chooses a worker.
     *
     * @param loads what is known of the workers
     * @param prefix the hash of the prompt's prefix
     * @return the worker's index, or {@link #NONE}
     */
    int choose(ServerLoads loads, long prefix);

    /**
     * Any worker with equal chance.
     *
     * @param random the source of chance
     * @return the choice
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
     * The worker with the least known load; ties fall to chance.
     *
     * @param random the source of chance
     * @return the choice
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
     * The worker with the highest affinity to the prefix among those whose load is at most {@code
     * bound} times the mean plus one request; so prompts with a common prefix meet in one cache,
     * and a popular prefix spills over to the next worker instead of queueing.
     *
     * @param bound how far above the mean a worker may be loaded; above 1
     * @return the choice
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
            int spare = NONE;
            long highest = Long.MIN_VALUE;
            double least = Double.POSITIVE_INFINITY;
            for (int i = 0; i < loads.size(); i++) {
                if (loads.isExcluded(i)) {
                    continue;
                }
                final double utilisation = loads.utilisation(i);
                if (utilisation < least) {
                    least = utilisation;
                    spare = i;
                }
                final long affinity = loads.affinity(i, prefix);
                if (utilisation <= bound * mean && affinity >= highest) {
                    highest = affinity;
                    chosen = i;
                }
            }
            return chosen == NONE ? spare : chosen;
        };
    }

    /**
     * Finds the workers with the highest affinity to a prefix, for which exact loads are then
     * asked.
     *
     * @param loads the workers
     * @param prefix the hash of the prompt's prefix
     * @param best receives their indexes, highest affinity first, {@link #NONE} where there are
     *     fewer
     */
    static void firstByAffinity(final ServerLoads loads, final long prefix, final int[] best) {
        java.util.Arrays.fill(best, NONE);
        final long[] ranks = loads.ranks(best.length);
        int found = 0;
        for (int i = 0; i < loads.size(); i++) {
            if (loads.isExcluded(i)) {
                continue;
            }
            final long rank = loads.affinity(i, prefix);
            if (found == best.length && rank <= ranks[found - 1]) {
                continue;
            }
            int place = found < best.length ? found++ : found - 1;
            while (place > 0 && ranks[place - 1] < rank) {
                ranks[place] = ranks[place - 1];
                best[place] = best[place - 1];
                place--;
            }
            ranks[place] = rank;
            best[place] = i;
        }
    }
}
