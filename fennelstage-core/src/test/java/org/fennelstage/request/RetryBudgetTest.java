package org.fennelstage.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class RetryBudgetTest {

    /** A pool that fails must not get more work the more it fails. */
    @Property(seed = "51", tries = 200)
    void retriesStayWithinReserveAndShareOfAttempts(
            @ForAll @Size(max = 300) final List<Boolean> events) {
        final RetryBudget budget = RetryBudget.of(0.1, 3);
        int attempts = 0;
        int retries = 0;
        for (final boolean isAttempt : events) {
            if (isAttempt) {
                attempts++;
                budget.onFirstAttempt();
            } else if (budget.tryRetry()) {
                retries++;
            }
            assertThat((double) retries).isLessThanOrEqualTo(3 + 0.1 * attempts + 1e-9);
        }
    }
}
