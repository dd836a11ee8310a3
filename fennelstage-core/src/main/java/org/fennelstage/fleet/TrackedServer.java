package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * A worker with this VM's requests at it.
 *
 * <p>Invariant: work and count return to zero when all requests have ended. Not thread-safe.
 */
public final class TrackedServer {

    private final ServerHealth health;
    private ServerEntry entry;
    private int running;
    private long workTokens;

    private TrackedServer(final ServerEntry entry, final ServerHealth health) {
        this.entry = entry;
        this.health = health;
    }

    /**
     * Returns a worker with no requests.
     *
     * @param entry its entry
     * @param clock the clock
     * @param dataCentre the state of its data centre
     * @return the worker
     */
    public static TrackedServer of(
            final ServerEntry entry, final MonotonicClock clock, final Reachability dataCentre) {
        Objects.requireNonNull(entry, "entry is null");
        return new TrackedServer(entry, ServerHealth.of(clock, dataCentre));
    }

    public ServerEntry entry() {
        return entry;
    }

    public ServerHealth health() {
        return health;
    }

    /**
     * Returns this VM's requests at the worker.
     *
     * @return the count
     */
    public int running() {
        return running;
    }

    /**
     * Returns the size of this VM's requests at the worker.
     *
     * @return tokens, weighted as the requests were
     */
    public long workTokens() {
        return workTokens;
    }

    /**
     * Notes a request sent.
     *
     * @param tokens its size
     */
    public void begin(final long tokens) {
        running++;
        workTokens += tokens;
    }

    /**
     * Notes that a request ended.
     *
     * @param tokens its size, as given at its begin
     */
    public void end(final long tokens) {
        running--;
        workTokens -= tokens;
    }

    void update(final ServerEntry newer) {
        entry = newer;
    }

    @Override
    public String toString() {
        return "TrackedServer[" + entry.id() + ", running=" + running + "]";
    }
}
