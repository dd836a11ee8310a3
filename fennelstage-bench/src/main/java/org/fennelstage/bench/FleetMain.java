package org.fennelstage.bench;

import java.util.ArrayList;
import java.util.List;
import org.fennelstage.bench.engine.Simulation;
import org.fennelstage.bench.engine.SimulationResult;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.policy.Policy;

/**
 * Measures the effect of each routing mechanism. Simulates VMs and backend servers in virtual time,
 * with all mechanisms and without each one, at several loads and fleet sizes. Decisions are made by
 * the code of the product.
 */
public final class FleetMain {

    private static final int SECONDS = 30;
    private static final int SEEDS = 2;
    private static final List<Mechanism> PLAYED =
            List.of(
                    Mechanism.LOAD_REPORTS,
                    Mechanism.MEMORY_AFFINITY,
                    Mechanism.MIDDLE_MODELS,
                    Mechanism.SMALL_FIRST);

    private FleetMain() {}

    /**
     * Prints the results of each simulation.
     *
     * @param args none
     */
    public static void main(final String[] args) {
        for (final int vms : new int[] {6, 64}) {
            for (final double load : new double[] {1.0, 1.3}) {
                final int workers = vms == 6 ? 13 : 130;
                final double scale = load * workers / 13;
                print(vms, workers, scale, "all", Policy.all());
                for (final Mechanism off : PLAYED) {
                    final Policy policy = Policy.all().without(List.of(off));
                    print(vms, workers, scale, "without " + off.option(), policy);
                }
            }
        }
    }

    private static void print(
            final int vms,
            final int workers,
            final double scale,
            final String name,
            final Policy policy) {
        final List<SimulationResult> results = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            results.add(
                    Simulation.run(
                            Simulation.Setup.longAndShortPrompts(
                                    vms, workers, scale, SECONDS, policy, seed)));
        }
        final double share =
                results.stream().mapToDouble(SimulationResult::valueShare).average().orElse(0);
        System.out.printf(
                "vms %d servers %d load %.1f %-24s value %.4f, %d prompt tokens read%n",
                vms, workers, scale * 13 / workers, name, share, results.get(0).promptTokensRead());
        results.get(0).stats().forEach(t -> System.out.println("    " + t));
    }
}
