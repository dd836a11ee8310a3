package org.fennelstage.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class RetryBudgetTest {

    /** Without the limit, retries would multiply the load on failing backend servers. */
    @Property(seed = "51", tries = 200)
    void retriesNeverExceedReservePlusShareOfFirstAttempts(
            @ForAll @Size(max = 300) final List<Boolean> events) {
        final RetryBudget budget = RetryBudget.of(0.1, 3);
        int firstAttempts = 0;
        int retries = 0;
        for (final boolean isFirstAttempt : events) {
            if (isFirstAttempt) {
                firstAttempts++;
                budget.onFirstAttempt();
            } else if (budget.tryRetry()) {
                retries++;
            }
            assertThat((double) retries).isLessThanOrEqualTo(3 + 0.1 * firstAttempts + 1e-9);
        }
    }
}
