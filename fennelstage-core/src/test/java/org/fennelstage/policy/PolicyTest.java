package org.fennelstage.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyTest {

    @Test
    void everyMechanismIsEnabledUnlessItIsDisabled() {
        for (final Mechanism disabled : Mechanism.values()) {
            final Policy policy = Policy.all().without(List.of(disabled));
            for (final Mechanism mechanism : Mechanism.values()) {
                assertThat(policy.uses(mechanism)).isEqualTo(mechanism != disabled);
            }
        }
    }

    @Test
    void findReturnsEveryMechanismByItsCommandLineName() {
        for (final Mechanism mechanism : Mechanism.values()) {
            assertThat(Mechanism.find(mechanism.option())).contains(mechanism);
        }
        assertThat(Mechanism.find("LOAD_REPORTS")).isEmpty();
        assertThat(Mechanism.options()).contains("load-reports,memory-affinity");
    }
}
