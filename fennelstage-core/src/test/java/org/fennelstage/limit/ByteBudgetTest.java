package org.fennelstage.limit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {

    @Test
    void whatIsTakenNeverExceedsTheTotal() {
        final ByteBudget budget = ByteBudget.of(100);
        assertThat(budget.tryTake(60)).isTrue();
        assertThat(budget.tryTake(41)).isFalse();
        assertThat(budget.tryTake(40)).isTrue();
        assertThat(budget.tryTake(1)).isFalse();
    }

    @Test
    void whatIsGivenBackCanBeTakenAgain() {
        final ByteBudget budget = ByteBudget.of(100);
        budget.tryTake(100);
        budget.giveBack(30);
        assertThat(budget.tryTake(31)).isFalse();
        assertThat(budget.tryTake(30)).isTrue();
    }
}
