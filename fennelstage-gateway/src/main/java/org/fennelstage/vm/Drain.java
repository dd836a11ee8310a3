package org.fennelstage.vm;

import java.time.Duration;
import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * Decides when a process that was asked to stop may end.
 *
 * <p>The balancer notices only after some failed questions that the VM takes no more callers; new
 * connections come until then. A process that ended earlier would reset them. Not thread-safe.
 */
final class Drain {

    /**
     * How long new connections may still come: the balancer asks once a second and needs two
     * failures in a row; the rest is for connections on their way. Milliseconds.
     */
    private static final long BALANCER_MILLIS = 2_500;

    /** Left of the grace for the end of the process itself; milliseconds. */
    private static final long RESERVE_MILLIS = 400;

    private final MonotonicClock clock;
    private final long begunMillis;
    private final long graceMillis;

    private Drain(final MonotonicClock clock, final long graceMillis) {
        this.clock = clock;
        this.begunMillis = clock.millis();
        this.graceMillis = graceMillis;
    }

    static Drain of(final MonotonicClock clock, final Duration grace) {
        Objects.requireNonNull(grace, "grace is null");
        return new Drain(Objects.requireNonNull(clock, "clock is null"), grace.toMillis());
    }

    /**
     * Tells whether no new callers come any more. Kept connections on which nothing is asked are to
     * be closed then: a long request that a caller begins late on one of them could not end within
     * the grace.
     */
    boolean balancerKnows() {
        return elapsedMillis() >= BALANCER_MILLIS;
    }

    boolean mayEnd(final int requestsInFlight) {
        final boolean idle = requestsInFlight == 0 && balancerKnows();
        return idle || elapsedMillis() >= graceMillis - RESERVE_MILLIS;
    }

    private long elapsedMillis() {
        return clock.millis() - begunMillis;
    }
}
