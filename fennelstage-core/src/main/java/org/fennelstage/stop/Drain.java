package org.fennelstage.stop;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import org.fennelstage.time.MonotonicClock;

/**
 * Decides what a stopping VM does next, from the signal to its exit.
 *
 * <p>The load balancer detects the failing health check with a delay; an earlier exit would reset
 * the connections that it opens until then. Those that it opened during a pause of the process wait
 * to be accepted, so that the delay does not run in a pause; the grace period does.
 *
 * <p>Invariant: {@link Step#RESPOND} comes before {@link Step#EXIT} whenever a request is open, so
 * that no estimate of its duration decides whether its caller gets a response. Not thread-safe.
 */
public final class Drain {

    /** What a stopping VM does next. */
    public enum Step {
        /** Goes on serving. */
        SERVE,
        /** Goes on serving, and closes idle connections. */
        CLOSE_IDLE,
        /**
         * Responds to all open requests without a response, with what is known of them. Streams go
         * on until the exit, since their early end is a closed connection in any case.
         */
        RESPOND,
        /** Exits. */
        EXIT
    }

    /**
     * How far a VM has got.
     *
     * @param idleClosed whether idle connections were closed, with time to read what had arrived
     * @param unfinished the number of requests in flight, and of responses whose callers have not
     *     read them yet
     * @param partial the number of requests of which a part has been read
     * @param connections the number of open connections of callers
     */
    public record Progress(boolean idleClosed, int unfinished, int partial, int connections) {}

    /**
     * Time until the load balancer opens no more connections: two failed health checks, one a
     * second, and a reserve for connections being opened; milliseconds.
     */
    private static final long BALANCER_DELAY_MILLIS = 2_500;

    /** Part of the grace period reserved for the exit itself; milliseconds. */
    private static final long RESERVE_MILLIS = 400;

    /** Time before the exit in which callers read their last responses; milliseconds. */
    private static final long LAST_RESPONSES_MILLIS = 300;

    private final MonotonicClock clock;
    private final MonotonicClock listening;
    private final long startMillis;
    private final long listeningStartMillis;
    private final long earliestStartMillis;
    private final boolean wasReady;
    private final long graceMillis;
    private OptionalLong respondedMillis = OptionalLong.empty();

    private Drain(
            final MonotonicClock clock,
            final MonotonicClock listening,
            final long startMillis,
            final long earliestStartMillis,
            final boolean wasReady,
            final long graceMillis) {
        this.clock = clock;
        this.wasReady = wasReady;
        this.listening = listening;
        this.earliestStartMillis = earliestStartMillis;
        this.startMillis = startMillis;
        this.listeningStartMillis = listening.millis();
        this.graceMillis = graceMillis;
    }

    /**
     * Returns a drain that begins now.
     *
     * @param clock the clock
     * @param listening the clock that leaves out pauses of the process
     * @param startMillis when the signal to stop arrived, by the clock
     * @param earliestStartMillis when it was sent at the earliest, by the clock
     * @param wasReady whether the health check passed until now
     * @param grace the time from the signal until the process is killed
     * @return the drain
     */
    public static Drain of(
            final MonotonicClock clock,
            final MonotonicClock listening,
            final long startMillis,
            final long earliestStartMillis,
            final boolean wasReady,
            final Duration grace) {
        Objects.requireNonNull(clock, "clock is null");
        Objects.requireNonNull(listening, "listening is null");
        return new Drain(
                clock, listening, startMillis, earliestStartMillis, wasReady, grace.toMillis());
    }

    /**
     * Returns the time until the VM responds to the requests that are still open. It leaves out the
     * time in which the signal may have been waiting to be handled.
     *
     * @return the time, zero if there is none
     */
    public Duration untilLastResponses() {
        final long millis = leftMillis(earliestStartMillis) - LAST_RESPONSES_MILLIS;
        return Duration.ofMillis(Math.max(0, millis));
    }

    /**
     * Decides what to do next.
     *
     * @param progress how far the VM has got
     * @return the next step; {@code RESPOND} once at most
     */
    public Step next(final Progress progress) {
        final boolean idle = progress.unfinished() == 0 && progress.idleClosed();
        if (respondedMillis.isEmpty()
                && (untilLastResponses().isZero() || (idle && progress.partial() > 0))) {
            respondedMillis = OptionalLong.of(clock.millis());
            return Step.RESPOND;
        }
        if (leftMillis(startMillis) <= 0 || (idle && areResponsesRead(progress))) {
            return Step.EXIT;
        }
        return isBalancerInformed() ? Step.CLOSE_IDLE : Step.SERVE;
    }

    /** Connections close once their callers have read the last responses. */
    private boolean areResponsesRead(final Progress progress) {
        return respondedMillis.isEmpty()
                || progress.connections() == 0
                || clock.millis() - respondedMillis.getAsLong() >= LAST_RESPONSES_MILLIS;
    }

    /**
     * Returns whether the load balancer has stopped sending callers. Idle connections are closed
     * from then on: a long request that starts late on one could not finish within the grace
     * period.
     */
    boolean isBalancerInformed() {
        return !wasReady || listening.millis() - listeningStartMillis >= BALANCER_DELAY_MILLIS;
    }

    private long leftMillis(final long sinceMillis) {
        return graceMillis - RESERVE_MILLIS - (clock.millis() - sinceMillis);
    }
}
