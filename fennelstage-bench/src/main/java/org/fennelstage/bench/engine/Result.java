package org.fennelstage.bench.engine;

import java.util.List;

/**
 * What a play gave. Immutable.
 *
 * @param tallies what callers got, in the order of the kinds
 * @param tokensRead tokens of prompts that engines read
 */
public record Result(List<Tally> tallies, long tokensRead) {

    public Result {
        tallies = List.copyOf(tallies);
    }

    /**
     * Returns the share of what all callers are owed that was earned.
     *
     * @return a number in [0, 1]
     */
    public double share() {
        final double earned = tallies.stream().mapToDouble(Tally::earned).sum();
        return earned / tallies.stream().mapToDouble(Tally::owed).sum();
    }
}
