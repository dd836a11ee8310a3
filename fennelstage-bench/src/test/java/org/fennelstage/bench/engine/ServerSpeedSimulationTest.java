package org.fennelstage.bench.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fennelstage.id.ModelId;
import org.fennelstage.policy.Mechanism;
import org.fennelstage.policy.Policy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares simulations of engines of different speed with and without their speeds. */
class ServerSpeedSimulationTest {

    private static final int VMS = 82;
    private static final int ENGINES = 140;
    private static final int SECONDS = 12;
    private static final EngineSpec ENGINE = new EngineSpec(12, 13, 0.1, 26, 2_048, 334_768);
    private static final List<ModelSpec> MODELS = List.of(new ModelSpec(ModelId.of("model"), 1, 1));

    /** A quarter of the engines is slow. */
    private static final List<Double> DIFFERENT = List.of(0.55, 1.2, 1.2, 1.2);

    private static final List<Double> EQUAL = List.of(1.04);
    private static final Policy WITHOUT_SPEEDS =
            Policy.all().without(List.of(Mechanism.SERVER_SPEEDS));

    private static SimulationResult simulate(
            final List<Double> speeds, final Policy policy, final long seed) {
        final List<RequestKind> kinds =
                List.of(
                        new RequestKind("long", 86, 8_000, 4_000, 200, 60, 4_019, 20_000, 1),
                        new RequestKind("short", 61, 200, 600, 200, 200, 2_008, 15_000, 1),
                        new RequestKind("tag", 140, 400, 1_000, 24, 200, 2_010, 5_000, 1));
        return Simulation.run(
                new Simulation.Setup(
                        VMS, ENGINES, ENGINE, speeds, MODELS, kinds, 1, SECONDS, policy, seed));
    }

    private static double longestWaitMillis(final SimulationResult result) {
        return result.stats().get(0).firstTokenMillis(0.99);
    }

    /** Guards against long prompts that wait at slow engines while fast ones are idle. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void longPromptsWaitLessAtEnginesOfDifferentSpeed(final long seed) {
        final SimulationResult before = simulate(DIFFERENT, WITHOUT_SPEEDS, seed);
        final SimulationResult after = simulate(DIFFERENT, Policy.all(), seed);
        assertThat(longestWaitMillis(after)).isLessThan(0.85 * longestWaitMillis(before));
        assertThat(after.valueShare()).isGreaterThanOrEqualTo(before.valueShare());
        final double missedBefore = before.stats().get(0).missedShare();
        assertThat(after.stats().get(0).missedShare()).isLessThanOrEqualTo(missedBefore);
    }

    /** Guards against equal engines that are treated differently because of chance. */
    @Test
    void longPromptsWaitNoLongerAtEqualEngines() {
        final SimulationResult before = simulate(EQUAL, WITHOUT_SPEEDS, 1);
        final SimulationResult after = simulate(EQUAL, Policy.all(), 1);
        assertThat(longestWaitMillis(after)).isLessThan(1.1 * longestWaitMillis(before));
    }
}
