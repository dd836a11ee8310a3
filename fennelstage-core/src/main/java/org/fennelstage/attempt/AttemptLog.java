package org.fennelstage.attempt;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.id.BackendServerId;

/**
 * The attempts of one request.
 *
 * <p>Laws: {@code maySend()} is false once a request that must not be repeated may have run, also
 * while an attempt is open; {@code mayHaveRun()} never turns false again. Everything that a caller
 * is told about "not run" comes from here, so that a refusal cannot be untrue in one place and true
 * in another. Not thread-safe.
 */
public final class AttemptLog {

    private final boolean repeatable;
    private final int maxServers;
    private final Set<BackendServerId> tried = new HashSet<>();
    private int sent;
    private boolean open;
    private boolean mayHaveRun;

    private AttemptLog(final boolean repeatable, final int maxServers) {
        this.repeatable = repeatable;
        this.maxServers = maxServers;
    }

    /**
     * Returns the log of a request that was not sent yet.
     *
     * @param repeatable whether it may run more than once
     * @param maxServers the largest number of workers to which it may be sent
     * @return the log
     */
    public static AttemptLog of(final boolean repeatable, final int maxServers) {
        return new AttemptLog(repeatable, Math.max(1, maxServers));
    }

    /**
     * Tells whether the request may be sent, for the first time or again.
     *
     * @return true if no attempt is open and another may be made
     */
    public boolean maySend() {
        final boolean safe = repeatable || !mayHaveRun;
        return !open && safe && sent < maxServers;
    }

    /**
     * Notes that an attempt begins.
     *
     * @param server the worker
     * @throws IllegalStateException if {@link #maySend()} is false
     */
    public void begin(final BackendServerId server) {
        Objects.requireNonNull(server, "server is null");
        if (!maySend()) {
            throw new IllegalStateException("the request may not be sent again");
        }
        open = true;
        sent++;
        tried.add(server);
    }

    /**
     * Notes how the open attempt ended. An attempt that was never sent does not count against the
     * number of workers.
     *
     * @param end the end
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
     * Tells whether the request may have run, or may still.
     *
     * @return false only if every attempt certainly did not run and none is open
     */
    public boolean mayHaveRun() {
        return mayHaveRun || open;
    }

    /**
     * Tells whether a worker had an attempt already.
     *
     * @param server the worker
     * @return true if so
     */
    public boolean tried(final BackendServerId server) {
        return tried.contains(server);
    }

    /**
     * Returns the number of attempts that were sent.
     *
     * @return the count
     */
    public int sent() {
        return sent;
    }

    @Override
    public String toString() {
        return "AttemptLog[sent=" + sent + ", mayHaveRun=" + mayHaveRun() + "]";
    }
}
