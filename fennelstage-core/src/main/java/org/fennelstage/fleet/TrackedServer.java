package org.fennelstage.fleet;

import java.time.Duration;
import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * A worker with this VM's requests at it.
 *
 * <p>Invariant: work and counts return to zero when all requests have ended. Not thread-safe.
 */
public final class TrackedServer {

    private final ServerHealth health;
    private final MonotonicClock clock;
    private ServerEntry entry;
    private int running;
    private int begunAnswers;
    private boolean ended;
    private long stalledFromMillis;
    private long unreadMillis;
    private long wantsNothingUntilMillis;

    private TrackedServer(
            final ServerEntry entry, final ServerHealth health, final MonotonicClock clock) {
        this.entry = entry;
        this.health = health;
        this.clock = clock;
        this.wantsNothingUntilMillis = clock.millis();
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
        return new TrackedServer(entry, ServerHealth.of(clock, dataCentre), clock);
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
     * Returns this VM's requests at the worker with the time to read their prompts.
     *
     * @return the load
     */
    public Load load() {
        return new Load(running, unreadMillis);
    }

    /**
     * Notes a request sent.
     *
     * @param readMillis how long the worker takes to read its prompt; milliseconds
     */
    public void begin(final long readMillis) {
        running++;
        unreadMillis += readMillis;
    }

    /**
     * Notes that a request's prompt was read, or that it ended before.
     *
     * @param readMillis as given at its begin
     */
    public void onRead(final long readMillis) {
        unreadMillis -= readMillis;
    }

    /** Notes that a request ended whose prompt was read. */
    public void end() {
        running--;
    }

    /** Notes that an answer began, or goes on after a pause that this VM asked for. */
    public void beginAnswer() {
        if (begunAnswers == 0) {
            stalledFromMillis = clock.millis();
        }
        begunAnswers++;
    }

    /** Notes that an answer that had begun ended, or is paused by this VM. */
    public void endAnswer() {
        begunAnswers--;
    }

    /**
     * Returns how many answers to this VM have begun and not ended.
     *
     * @return the count
     */
    public int begunAnswers() {
        return begunAnswers;
    }

    /**
     * Returns how long all answers that have begun have been without a byte.
     *
     * @return milliseconds, zero if no answer is under way
     */
    public long stalledMillis() {
        return begunAnswers == 0
                ? 0
                : Math.min(health.silentMillis(), clock.millis() - stalledFromMillis);
    }

    /**
     * Notes that the worker turned a request away and wants none from this VM for a time.
     *
     * @param time the time
     */
    public void onTurnedAway(final Duration time) {
        final long until = clock.millis() + time.toMillis();
        wantsNothingUntilMillis = Math.max(wantsNothingUntilMillis, until);
    }

    /**
     * Returns for how long the worker wants no request from this VM.
     *
     * @return the time, zero if it takes requests
     */
    public Duration wantsNothingFor() {
        return Duration.ofMillis(Math.max(0, wantsNothingUntilMillis - clock.millis()));
    }

    /**
     * Tells whether the worker has started again since, so that this is the state of a former life.
     *
     * @return true if its requests here will not be answered
     */
    public boolean hasEnded() {
        return ended;
    }

    /** Notes that a later life of the worker has taken its place. */
    void onRestarted() {
        ended = true;
    }

    void update(final ServerEntry newer) {
        entry = newer;
    }

    @Override
    public String toString() {
        return "TrackedServer[" + entry.id() + ", running=" + running + "]";
    }
}
