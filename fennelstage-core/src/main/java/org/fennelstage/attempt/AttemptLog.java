package org.fennelstage.attempt;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.id.BackendServerId;

/**
 * The attempts of one request.
 *
 * <p>Invariants: at most one attempt is open, and at most one is set aside; {@code maySend()} is
 * false while an attempt is open, and once a request that must not be retried may have run; after
 * {@code mayHaveRun()} was true because of an ended attempt, it stays true. This class is the only
 * source of the "not run" promise to callers, which keeps all rejections consistent. Not
 * thread-safe.
 */
public final class AttemptLog {

    private final boolean retryable;
    private final int maxServers;
    private final Set<BackendServerId> tried = new HashSet<>();
    private int sent;
    private boolean open;
    private boolean aside;
    private boolean mayHaveRun;

    private AttemptLog(final boolean retryable, final int maxServers) {
        this.retryable = retryable;
        this.maxServers = maxServers;
    }

    /**
     * Returns the log of a request that has not been sent.
     *
     * @param retryable whether the request may run more than once
     * @param maxServers the largest number of backend servers to which it may be sent
     * @return the log
     */
    public static AttemptLog of(final boolean retryable, final int maxServers) {
        return new AttemptLog(retryable, Math.max(1, maxServers));
    }

    /**
     * Returns whether an attempt may begin.
     *
     * @return true if no attempt is open and another one is allowed
     */
    public boolean maySend() {
        final boolean safe = retryable || !(mayHaveRun || aside);
        return !open && safe && sent < maxServers;
    }

    /**
     * Records the start of an attempt.
     *
     * @param server the backend server
     * @throws IllegalStateException if {@link #maySend()} is false
     */
    public void begin(final BackendServerId server) {
        Objects.requireNonNull(server, "server is null");
        if (!maySend()) {
            throw new IllegalStateException("no further attempt is allowed: " + this);
        }
        open = true;
        sent++;
        tried.add(server);
    }

    /**
     * Records the start of an attempt through another VM, which chooses the backend server.
     *
     * @throws IllegalStateException if {@link #maySend()} is false
     */
    public void beginForwarded() {
        if (!maySend()) {
            throw new IllegalStateException("no further attempt is allowed: " + this);
        }
        open = true;
        sent++;
    }

    /**
     * Returns the number of backend servers to which the request may still be sent.
     *
     * @return the number, 0 if there is none
     */
    public int remaining() {
        return Math.max(0, maxServers - sent);
    }

    /**
     * Records the end of the open attempt. An attempt that was not sent does not count towards the
     * largest number of backend servers.
     *
     * @param end how the attempt ended
     * @throws IllegalStateException if no attempt is open
     */
    public void end(final AttemptEnd end) {
        if (!open) {
            throw new IllegalStateException("no attempt is open");
        }
        open = false;
        mayHaveRun = mayHaveRun || end.mayHaveRun();
        if (end == AttemptEnd.NOT_SENT) {
            sent--;
        }
    }

    /**
     * Sets the open attempt aside: it may still be taken up again, and another one may begin.
     *
     * @throws IllegalStateException if no attempt is open, or one is set aside
     */
    public void setAside() {
        if (!open || aside) {
            throw new IllegalStateException("no attempt can be set aside: " + this);
        }
        open = false;
        aside = true;
    }

    /**
     * Takes up the attempt that was set aside; it is the open one again.
     *
     * @throws IllegalStateException if an attempt is open, or none is set aside
     */
    public void takeUp() {
        if (open || !aside) {
            throw new IllegalStateException("no attempt can be taken up: " + this);
        }
        open = true;
        aside = false;
    }

    /**
     * Records the end of the attempt that was set aside.
     *
     * @param end how the attempt ended
     * @throws IllegalStateException if none is set aside
     */
    public void endAside(final AttemptEnd end) {
        if (!aside) {
            throw new IllegalStateException("no attempt is set aside");
        }
        aside = false;
        mayHaveRun = mayHaveRun || end.mayHaveRun();
    }

    /**
     * Returns whether the request may have run or may still run.
     *
     * @return false only if no attempt is open or set aside and the request certainly did not run
     *     in any
     */
    public boolean mayHaveRun() {
        return mayHaveRun || open || aside;
    }

    /**
     * Returns whether an attempt was made at a backend server.
     *
     * @param server the backend server
     * @return true if one was made, even if the request was not sent
     */
    public boolean tried(final BackendServerId server) {
        return tried.contains(server);
    }

    /**
     * Returns the number of attempts that were sent.
     *
     * @return the number of attempts, including the open one
     */
    public int sent() {
        return sent;
    }

    @Override
    public String toString() {
        return "AttemptLog[sent=" + sent + ", mayHaveRun=" + mayHaveRun() + "]";
    }
}
