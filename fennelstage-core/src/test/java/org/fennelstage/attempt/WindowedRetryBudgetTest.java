package org.fennelstage.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final AtomicLong now = new AtomicLong(1_000_000);

    @Test
    void withoutRequestsOnlyTheSlackIsAllowed() {
        final WindowedRetryBudget budget = WindowedRetryBudget.of(now::get, WINDOW, 0.9, () -> 2);
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();
    }

    @Test
    void retriesOlderThanTheWindowDoNotCount() {
        final WindowedRetryBudget budget = WindowedRetryBudget.of(now::get, WINDOW, 0.9, () -> 1);
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();
        now.addAndGet(WINDOW.toMillis() + 1);
        assertThat(budget.tryRetry()).isTrue();
    }

    /** Guards against retries that double the traffic of a failing service. */
    @Property
    void retriesStayWithinTheRatioAndTheSlack(
            @ForAll @IntRange(min = 0, max = 400) final int requests,
            @ForAll @IntRange(min = 0, max = 10) final int slack) {
        final WindowedRetryBudget budget =
                WindowedRetryBudget.of(now::get, WINDOW, 0.5, () -> slack);
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            budget.onRequest();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isLessThanOrEqualTo((int) (0.5 * requests) + slack);
    }
}
