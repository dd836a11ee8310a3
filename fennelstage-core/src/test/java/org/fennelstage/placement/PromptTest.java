package org.fennelstage.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

class PromptTest {

    /** Guards against lengths that make sums and estimates of all later prompts wrong. */
    @Test
    void aNegativeNumberOfTokensIsRejected() {
        assertThatThrownBy(() -> new Prompt(List.of(), -1, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new Prompt(List.of(), 0, -1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new PromptPart("a", -1))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** Guards against a sum of shared parts that overflows and so becomes negative. */
    @Test
    void theSharedTokensOfExtremePartsAreTheirSum() {
        final PromptPart part = new PromptPart("a", Integer.MAX_VALUE);
        final Prompt prompt = new Prompt(List.of(part, part, part), 1, 1);
        assertThat(prompt.sharedTokens()).isEqualTo(2L * Integer.MAX_VALUE);
    }
}
