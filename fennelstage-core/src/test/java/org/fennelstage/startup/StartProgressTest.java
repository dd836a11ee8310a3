package org.fennelstage.startup;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

class StartProgressTest {

    private static long millis(final long sinceBegin, final double draw) {
        return StartProgress.retryAfter(Duration.ofMillis(sinceBegin), draw).toMillis();
    }

    /** Guards against callers that return long before or long after the VM is ready. */
    @Test
    void theTimeFollowsTheTimeThatTheStartHasTakenWithinLimits() {
        assertThat(millis(-5, 0)).isEqualTo(100);
        assertThat(millis(20, 0)).isEqualTo(100);
        assertThat(millis(800, 0)).isEqualTo(800);
        assertThat(millis(60_000, 0)).isEqualTo(2_000);
        assertThat(millis(60_000, 1)).isEqualTo(3_000);
    }

    /**
     * Guards against callers that return all at once, or more often than the fixed time would have
     * had them: five seeds, starts of 0.5 to 6 s, callers that arrive at any time and return until
     * the VM is ready.
     */
    @Test
    void callersReturnSpreadOutAndSoonAfterTheVmIsReady() {
        for (int seed = 0; seed < 5; seed++) {
            final Random random = new Random(seed);
            for (final int readyMillis : new int[] {500, 2_300, 6_000}) {
                final int[] returnsPerTenth = new int[100];
                long rejections = 0;
                for (int caller = 0; caller < 1_000; caller++) {
                    long at = random.nextInt(readyMillis);
                    while (at < readyMillis) {
                        rejections++;
                        at += millis(at, random.nextDouble());
                    }
                    final long lateMillis = at - readyMillis;
                    assertThat(lateMillis)
                            .isLessThanOrEqualTo(Math.min(readyMillis, 2_000) * 3L / 2);
                    returnsPerTenth[(int) (lateMillis / 100)]++;
                }
                assertThat(rejections).isLessThanOrEqualTo(5_000);
                for (final int returns : returnsPerTenth) {
                    assertThat(returns).isLessThanOrEqualTo(readyMillis < 1_000 ? 500 : 250);
                }
            }
        }
    }
}
