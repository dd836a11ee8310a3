package org.fennelstage.canary;

import java.util.Objects;
import java.util.OptionalDouble;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.time.MonotonicClock;

/**
 * Observes one response for the comparison of versions.
 *
 * <p>A response that has taken longer than a slow one counts at that moment, not at its end: the
 * slower a version is, the fewer of its responses have ended, and many never do, since callers
 * leave or another backend server is asked instead.
 *
 * <p>Invariants: each measure but the mean pace counts at most once, and by the same limit whether
 * the response has ended or not; nothing counts after the end. Not thread-safe.
 */
public final class ResponseObservation {

    /** Pauses between events that a pace is taken from; the first of a stream is judged. */
    static final int JUDGED_PAUSES = 8;

    /** Pauses that a stream which ends earlier must have at least. */
    private static final int MIN_PAUSES = 2;

    /** Whether a measure of this response still waits for its result. */
    private enum State {
        OPEN,
        CLOSED
    }

    private final VersionComparison comparison;
    private final MonotonicClock clock;
    private final BackendServerId server;
    private final String version;
    private final ResponseKind kind;
    private final boolean stream;
    private final boolean testsLoad;
    private final long sentMillis;
    private final Runnable onPaceClosed;
    private State firstByte;
    private State pace;
    private State outcome = State.OPEN;
    private boolean timesParts;
    private long firstEventMillis;
    private long partMillis;
    private int pauses = -1;

    ResponseObservation(
            final VersionComparison comparison,
            final MonotonicClock clock,
            final BackendServerId server,
            final String version,
            final ResponseKind kind,
            final boolean stream,
            final boolean timed,
            final boolean testsLoad,
            final Runnable onPaceClosed) {
        this.comparison = comparison;
        this.clock = clock;
        this.server = Objects.requireNonNull(server, "server is null");
        this.version = Objects.requireNonNull(version, "version is null");
        this.kind = Objects.requireNonNull(kind, "kind is null");
        this.stream = stream;
        this.testsLoad = testsLoad;
        this.sentMillis = clock.millis();
        this.onPaceClosed = onPaceClosed;
        this.firstByte = stream && timed ? State.OPEN : State.CLOSED;
        this.pace = timed ? State.OPEN : State.CLOSED;
        this.timesParts = timed;
    }

    BackendServerId server() {
        return server;
    }

    String version() {
        return version;
    }

    ResponseKind kind() {
        return kind;
    }

    /** Returns whether the request is part of a load test. */
    boolean testsLoad() {
        return testsLoad;
    }

    /** Records that the response has begun. */
    public void onFirstByte() {
        if (firstByte == State.OPEN) {
            firstByte = State.CLOSED;
            comparison.onTime(this, Measure.FIRST_BYTE, sinceSent());
        }
    }

    /** Records an event of a stream. */
    public void onEvent() {
        pauses++;
        if (pauses == 0) {
            firstEventMillis = clock.millis();
            partMillis = firstEventMillis;
        } else if (pauses % JUDGED_PAUSES == 0) {
            onPart();
        }
    }

    private void onPart() {
        final long now = clock.millis();
        final double millis = (now - partMillis) / (double) JUDGED_PAUSES;
        partMillis = now;
        if (pauses == JUDGED_PAUSES) {
            judge(millis);
        } else if (timesParts) {
            comparison.onLaterPace(this, millis);
        }
    }

    /** Records that the stream is not read for a while, which says nothing about its pace. */
    public void onPaused() {
        timesParts = false;
        closePace();
    }

    /**
     * Records the end of the response as the backend server meant it.
     *
     * @param failed whether it reported a failure
     */
    public void onEnd(final boolean failed) {
        if (outcome == State.OPEN) {
            outcome = State.CLOSED;
            comparison.onOutcome(this, failed);
            if (!failed) {
                judgeAtEnd();
            }
        }
        close();
    }

    private void judgeAtEnd() {
        if (!stream) {
            judge(sinceSent());
        } else if (pauses >= MIN_PAUSES) {
            judgeStream();
        }
    }

    private void judgeStream() {
        judge((clock.millis() - firstEventMillis) / (double) pauses);
    }

    private void judge(final double millis) {
        if (pace == State.OPEN) {
            closePace();
            comparison.onTime(this, Measure.PACE, millis);
        }
    }

    /** Counts the response as slow once it has taken that long. Called several times a second. */
    public void check() {
        final OptionalDouble firstByteLimit = limit(firstByte, Measure.FIRST_BYTE);
        if (firstByteLimit.isPresent() && sinceSent() >= firstByteLimit.getAsDouble()) {
            onFirstByte();
        }
        final OptionalDouble paceLimit = limit(pace, Measure.PACE);
        if (paceLimit.isPresent() && elapsedForPace() >= paceLimit.getAsDouble()) {
            judge(elapsedForPace());
        }
    }

    /** Returns the least pace that the response can still have when it is judged. */
    private double elapsedForPace() {
        if (!stream) {
            return sinceSent();
        }
        return pauses < 0 ? 0 : (clock.millis() - firstEventMillis) / (double) JUDGED_PAUSES;
    }

    private OptionalDouble limit(final State state, final Measure measure) {
        return state == State.OPEN ? comparison.limitMillis(measure, kind) : OptionalDouble.empty();
    }

    /** Ends the observation of a response that broke, was cancelled or was given up. */
    public void close() {
        outcome = State.CLOSED;
        firstByte = State.CLOSED;
        timesParts = false;
        closePace();
    }

    private void closePace() {
        if (pace == State.OPEN) {
            pace = State.CLOSED;
            onPaceClosed.run();
        }
    }

    private long sinceSent() {
        return clock.millis() - sentMillis;
    }
}
