package org.fennelstage.stop;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class DrainTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final AtomicLong pausedMillis = new AtomicLong();
    private final Drain drain =
            Drain.of(
                    now::get,
                    () -> now.get() - pausedMillis.get(),
                    now.get(),
                    now.get() - 3_000,
                    true,
                    Duration.ofSeconds(8));

    /**
     * Guards against connections that are reset because the process exits before the balancer stops
     * using it.
     */
    @Test
    void idleVmDoesNotExitBeforeBalancerIsInformed() {
        now.addAndGet(2_000);
        assertThat(mayExit(drain, drain.isBalancerInformed(), 0)).isFalse();
        now.addAndGet(500);
        assertThat(mayExit(drain, drain.isBalancerInformed(), 0)).isTrue();
    }

    /**
     * Guards against long responses cut by the exit because they start late on an idle connection.
     */
    @Test
    void balancerIsInformedAfterDelay() {
        assertThat(drain.isBalancerInformed()).isFalse();
        now.addAndGet(2_500);
        assertThat(drain.isBalancerInformed()).isTrue();
    }

    /** Guards against closing connections that were opened during a pause and are not accepted. */
    @Test
    void aPauseIsNoTimeInWhichTheBalancerIsInformed() {
        now.addAndGet(5_000);
        pausedMillis.set(4_000);
        assertThat(drain.isBalancerInformed()).isFalse();
        assertThat(mayExit(drain, drain.isBalancerInformed(), 0)).isFalse();
        now.addAndGet(2_600);
        assertThat(mayExit(drain, drain.isBalancerInformed(), 0)).isTrue();
    }

    @Test
    void theTimeLeftCountsFromTheEarliestSignalAndLeavesOutTheReserve() {
        assertThat(drain.untilLastResponses()).isEqualTo(Duration.ofMillis(4_300));
        now.addAndGet(5_000);
        assertThat(drain.untilLastResponses()).isZero();
        assertThat(mayExit(drain, drain.isBalancerInformed(), 1)).isFalse();
    }

    /** Guards against an exit that resets connections whose requests have just arrived. */
    @Test
    void idleVmDoesNotExitBeforeItHasClosedIdleConnections() {
        now.addAndGet(2_500);
        assertThat(mayExit(drain, false, 0)).isFalse();
        assertThat(mayExit(drain, true, 0)).isTrue();
    }

    /** Guards against requests that a VM accepts in a stop that begins before it was ready. */
    @Test
    void theBalancerSendsNobodyToAVmThatWasNeverReady() {
        final Drain neverReady =
                Drain.of(now::get, now::get, now.get(), now.get(), false, Duration.ofSeconds(8));
        assertThat(neverReady.isBalancerInformed()).isTrue();
    }

    /** Guards against being killed because the grace period counts from the end of a slow start. */
    @Test
    void theGracePeriodCountsFromTheArrivalOfTheSignal() {
        final Drain delayed =
                Drain.of(
                        now::get,
                        now::get,
                        now.get() - 1_000,
                        now.get() - 1_000,
                        true,
                        Duration.ofSeconds(8));
        now.addAndGet(6_500);
        assertThat(mayExit(delayed, true, 1)).isFalse();
        now.addAndGet(100);
        assertThat(mayExit(delayed, true, 1)).isTrue();
    }

    @Test
    void requestsInFlightDelayExitUntilEndOfGrace() {
        now.addAndGet(7_000);
        assertThat(mayExit(drain, drain.isBalancerInformed(), 1)).isFalse();
        now.addAndGet(600);
        assertThat(mayExit(drain, drain.isBalancerInformed(), 1)).isTrue();
    }

    /** Guards against requests whose connections the exit closes without a response. */
    @Test
    void openRequestsGetTheirLastResponsesBeforeTheExit() {
        now.addAndGet(4_299);
        assertThat(drain.next(progress(1, 0, 1))).isEqualTo(Drain.Step.CLOSE_IDLE);
        now.addAndGet(1);
        assertThat(drain.next(progress(1, 0, 1))).isEqualTo(Drain.Step.RESPOND);
        assertThat(drain.next(progress(0, 0, 1))).isEqualTo(Drain.Step.CLOSE_IDLE);
        assertThat(drain.next(progress(0, 0, 0))).isEqualTo(Drain.Step.EXIT);
    }

    /** Guards against a VM that wakes from a pause after its time and exits without responses. */
    @Test
    void theLastResponsesComeBeforeTheExitAfterAPauseToo() {
        now.addAndGet(9_000);
        assertThat(drain.next(progress(1, 0, 1))).isEqualTo(Drain.Step.RESPOND);
        assertThat(drain.next(progress(1, 0, 1))).isEqualTo(Drain.Step.EXIT);
    }

    /** Guards against callers who send half a request and never learn that it does not run. */
    @Test
    void requestsOfWhichAPartWasReadAreAnsweredBeforeAnEarlyExit() {
        now.addAndGet(2_500);
        assertThat(drain.next(progress(0, 2, 2))).isEqualTo(Drain.Step.RESPOND);
        assertThat(drain.next(progress(0, 0, 2))).isEqualTo(Drain.Step.CLOSE_IDLE);
        now.addAndGet(300);
        assertThat(drain.next(progress(0, 0, 2))).isEqualTo(Drain.Step.EXIT);
    }

    @Test
    void aStreamGoesOnAfterTheLastResponses() {
        now.addAndGet(7_300);
        assertThat(drain.next(progress(1, 0, 1))).isEqualTo(Drain.Step.RESPOND);
        now.addAndGet(299);
        assertThat(drain.next(progress(1, 0, 1))).isEqualTo(Drain.Step.CLOSE_IDLE);
        now.addAndGet(1);
        assertThat(drain.next(progress(1, 0, 1))).isEqualTo(Drain.Step.EXIT);
    }

    private static Drain.Progress progress(
            final int unfinished, final int partial, final int connections) {
        return new Drain.Progress(true, unfinished, partial, connections);
    }

    /** Returns whether a VM may exit, if it has responded to what it may not wait for. */
    private static boolean mayExit(
            final Drain drain, final boolean idleClosed, final int unfinished) {
        final Drain.Progress progress = new Drain.Progress(idleClosed, unfinished, 0, 0);
        final Drain.Step step = drain.next(progress);
        return (step == Drain.Step.RESPOND ? drain.next(progress) : step) == Drain.Step.EXIT;
    }
}
