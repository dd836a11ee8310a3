package org.fennelstage.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OverloadDetectorTest {

    private static final Duration PERIOD = Duration.ofMillis(100);

    private final AtomicLong now = new AtomicLong(1_000_000);
    private Duration acceptDelay = Duration.ZERO;
    private final OverloadDetector detector =
            new OverloadDetector(PERIOD, () -> acceptDelay, now::get);

    private boolean runAfter(final long millis) {
        now.addAndGet(millis);
        return detector.onPeriodicTask();
    }

    /** Guards against refusing connections after a pause of the process. */
    @Test
    void aSingleLateRunIsNoOverload() {
        runAfter(100);
        assertThat(runAfter(4_000)).isFalse();
        assertThat(detector.isOverloaded()).isFalse();
    }

    @Test
    void lateRunsInARowAreAnOverloadThatEndsWithARunInTime() {
        runAfter(400);
        assertThat(runAfter(400)).isTrue();
        assertThat(detector.isOverloaded()).isTrue();
        assertThat(runAfter(110)).isTrue();
        assertThat(detector.isOverloaded()).isFalse();
    }

    @Test
    void connectionsThatHaveBeenWaitingAreAnOverload() {
        acceptDelay = Duration.ofMillis(260);
        assertThat(detector.isOverloaded()).isTrue();
        acceptDelay = Duration.ofMillis(100);
        assertThat(detector.isOverloaded()).isFalse();
    }

    /** Guards against refusing connections where the processor is only assigned in slices. */
    @Test
    void delaysWithinATenthOfASecondAreNoOverload() {
        for (int i = 0; i < 100; i++) {
            runAfter(i % 2 == 0 ? 100 : 190);
        }
        assertThat(detector.isOverloaded()).isFalse();
    }

    /**
     * Guards against a VM that reads requests of new connections and serves few of them in time.
     */
    @ParameterizedTest
    @ValueSource(ints = {50, 100, 150, 200, 400, 1_000})
    void threeQuartersOfTheRequestsThatAreReadAreServed(final int percentOfCapacity) {
        assertThat(new Flood(percentOfCapacity, true).shareServed()).isGreaterThanOrEqualTo(0.75);
    }

    @Test
    void withoutRefusalsFewerAreServedAtTwiceTheCapacity() {
        assertThat(new Flood(200, false).shareServed()).isLessThan(0.75);
    }

    /**
     * New connections with a request each, of callers that leave when theirs was not read in time.
     */
    private final class Flood {

        private static final double SERVICE_MILLIS = 2;
        private static final double REFUSAL_MILLIS = 0.1;
        private static final int MAX_ACCEPTED = 16;
        private static final int MAX_WAITING = 1_024;
        private static final double PATIENCE_MILLIS = 1_000;
        private static final double LENGTH_MILLIS = 30_000;

        private final boolean refuses;
        private final double intervalMillis;
        private final Deque<Double> waiting = new ArrayDeque<>();
        private final double start = now.get();
        private double at = start;
        private double nextArrival = start;
        private double waitingSince = start;
        private int read;
        private int served;

        Flood(final int percentOfCapacity, final boolean refuses) {
            this.refuses = refuses;
            this.intervalMillis = 100 * SERVICE_MILLIS / percentOfCapacity;
        }

        double shareServed() {
            double nextRun = at;
            while (at < start + LENGTH_MILLIS) {
                arrive();
                accept();
                arrive();
                at = waiting.isEmpty() ? Math.max(at, nextArrival) : at;
                if (at >= nextRun) {
                    now.set((long) at);
                    detector.onPeriodicTask();
                    nextRun = at + PERIOD.toMillis();
                }
            }
            return served / (double) read;
        }

        private void arrive() {
            for (; nextArrival <= at; nextArrival += intervalMillis) {
                if (waiting.size() < MAX_WAITING) {
                    waiting.add(nextArrival);
                }
            }
        }

        /** Accepts what is waiting, at most a fixed number of connections. */
        private void accept() {
            final int accepted = Math.min(MAX_ACCEPTED, waiting.size());
            for (int i = 0; i < accepted; i++) {
                final double arrival = waiting.poll();
                if (refuses && detector.isOverloaded()) {
                    at += REFUSAL_MILLIS;
                    continue;
                }
                read++;
                if (at - arrival <= PATIENCE_MILLIS) {
                    at += SERVICE_MILLIS;
                    served++;
                } else {
                    at += REFUSAL_MILLIS;
                }
            }
            if (accepted < MAX_ACCEPTED) {
                waitingSince = at;
            }
            acceptDelay = Duration.ofMillis((long) (at - waitingSince));
        }
    }
}
