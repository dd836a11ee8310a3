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

    /** Guards against responses of one kind of remote ends that leave no memory for the others. */
    @Test
    void aPartLeavesTheRestToOthers() {
        final ByteBudget whole = ByteBudget.of(100);
        final ByteBudget part = whole.part(60);
        assertThat(part.tryTake(61)).isFalse();
        assertThat(part.tryTake(60)).isTrue();
        assertThat(whole.tryTake(41)).isFalse();
        assertThat(whole.tryTake(40)).isTrue();
        part.giveBack(10);
        assertThat(whole.tryTake(10)).isTrue();
        assertThat(part.tryTake(1)).isFalse();
    }

    /** Guards against a budget that grows by what is given back twice. */
    @Test
    void noMoreIsGivenBackThanWasTaken() {
        final ByteBudget whole = ByteBudget.of(100);
        final ByteBudget part = whole.part(60);
        part.tryTake(20);
        whole.tryTake(80);
        part.giveBack(50);
        assertThat(whole.tryTake(21)).isFalse();
        assertThat(whole.tryTake(20)).isTrue();
    }
}
