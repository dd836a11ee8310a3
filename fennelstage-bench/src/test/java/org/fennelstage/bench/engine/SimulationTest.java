package org.fennelstage.bench.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.policy.Policy;
import org.junit.jupiter.api.Test;

/** Compares the results of simulations with one mechanism enabled and disabled. */
class SimulationTest {

    private static final int SECONDS = 20;

    /** Time to the first token that is exceeded if VMs compare all backend servers. */
    private static final double HERDING_MILLIS = 1_500;

    private static SimulationResult simulate(
            final int vms, final int engines, final double scale, final Policy policy) {
        return Simulation.run(
                Simulation.Setup.longAndShortPrompts(vms, engines, scale, SECONDS, policy, 11));
    }

    private static Policy without(final Mechanism mechanism) {
        return Policy.all().without(List.of(mechanism));
    }

    private static double firstTokenMillis(final SimulationResult result, final int kind) {
        return result.stats().get(kind).firstTokenMillis(0.99);
    }

    @Test
    void loadReportsReduceTheTimeToTheFirstToken() {
        final SimulationResult disabled = simulate(6, 13, 1.3, without(Mechanism.LOAD_REPORTS));
        final SimulationResult enabled = simulate(6, 13, 1.3, Policy.all());
        assertThat(firstTokenMillis(enabled, 0)).isLessThan(0.85 * firstTokenMillis(disabled, 0));
        assertThat(firstTokenMillis(enabled, 1)).isLessThan(0.95 * firstTokenMillis(disabled, 1));
    }

    /**
     * Load reports are delayed. If each VM compared all backend servers, many VMs would send their
     * next requests to the same idle one.
     */
    @Test
    void loadReportsDoNotCauseHerdingInALargeFleet() {
        final SimulationResult disabled = simulate(48, 96, 7.4, without(Mechanism.LOAD_REPORTS));
        final SimulationResult enabled = simulate(48, 96, 7.4, Policy.all());
        assertThat(firstTokenMillis(enabled, 0)).isLessThan(firstTokenMillis(disabled, 0));
        assertThat(firstTokenMillis(enabled, 1)).isLessThan(firstTokenMillis(disabled, 1));
        assertThat(firstTokenMillis(enabled, 1)).isLessThan(HERDING_MILLIS);
    }

    @Test
    void memoryAffinityReducesThePromptTokensRead() {
        final SimulationResult disabled = simulate(6, 13, 1, without(Mechanism.MEMORY_AFFINITY));
        final SimulationResult enabled = simulate(6, 13, 1, Policy.all());
        assertThat(enabled.promptTokensRead())
                .isLessThan((long) (0.95 * disabled.promptTokensRead()));
    }

    @Test
    void middleModelsIncreaseTheValueWithFewMoreAttempts() {
        final SimulationResult disabled = simulate(6, 13, 1, without(Mechanism.MIDDLE_MODELS));
        final SimulationResult enabled = simulate(6, 13, 1, Policy.all());
        assertThat(enabled.valueShare()).isGreaterThan(disabled.valueShare() + 0.005);
        assertThat(enabled.stats().get(0).attemptsPerRequest())
                .isLessThan(disabled.stats().get(0).attemptsPerRequest() + 0.15);
    }

    @Test
    void smallModelsFirstIncreaseTheValueUnderHighLoad() {
        final SimulationResult disabled = simulate(6, 13, 1.3, without(Mechanism.SMALL_FIRST));
        assertThat(simulate(6, 13, 1.3, Policy.all()).valueShare())
                .isGreaterThan(disabled.valueShare() + 0.1);
    }

    @Test
    void sameSeedGivesSameResult() {
        final SimulationResult first = simulate(6, 13, 1, Policy.all());
        final SimulationResult second = simulate(6, 13, 1, Policy.all());
        assertThat(second.valueShare()).isEqualTo(first.valueShare());
        assertThat(second.promptTokensRead()).isEqualTo(first.promptTokensRead());
    }
}
