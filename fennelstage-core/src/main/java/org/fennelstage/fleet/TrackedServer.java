package org.fennelstage.fleet;

import java.time.Duration;
import java.util.Objects;
import org.fennelstage.member.Rendezvous;
import org.fennelstage.time.MonotonicClock;

/**
 * A worker with this VM's requests at it.
 *
 * <p>Invariant: work and counts return to zero when all requests have ended. Not thread-safe.
 */
public final class TrackedServer {

    /**
     * Longer than the second in which a cold worker counts its requests, by the longest time that a
     * request may take to get a connection: two that this VM sends as far apart as that never
     * arrive within one second of each other.
     */
    static final long WARM_UP_WINDOW_MILLIS = 1_200;

    private final ServerHealth health;
    private final MonotonicClock clock;
    private final long idHash;
    private ServerEntry entry;
    private int running;
    private int begunResponses;
    private boolean ended;
    private long stalledFromMillis;
    private long unreadMillis;
    private long rejectsUntilMillis;
    private long coldUntilMillis;
    private long lastBeginMillis;

    private TrackedServer(
            final ServerEntry entry, final ServerHealth health, final MonotonicClock clock) {
        this.entry = entry;
        this.health = health;
        this.clock = clock;
        this.idHash = Rendezvous.hash(entry.id().value());
        this.rejectsUntilMillis = clock.millis();
        this.coldUntilMillis = clock.millis() + entry.warmUpLeft().toMillis();
        this.lastBeginMillis = clock.millis() - WARM_UP_WINDOW_MILLIS;
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
     * Returns the hash of the worker's id.
     *
     * @return the hash
     */
    public long idHash() {
        return idHash;
    }

    /**
     * Tells whether neither the worker's word nor its warming up holds requests back.
     *
     * @return true if {@link #rejectsFor} and {@link #warmUpLeft} are zero
     */
    boolean isUnrestricted() {
        final long now = clock.millis();
        return now >= rejectsUntilMillis && now >= coldUntilMillis;
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
        lastBeginMillis = clock.millis();
        running++;
        unreadMillis += readMillis;
    }

    /**
     * Notes that a request's prompt was read, or that it ended before.
     *
     * @param readMillis as given at its begin
     */
    public void onPromptRead(final long readMillis) {
        unreadMillis -= readMillis;
    }

    /** Notes that a request ended whose prompt was read. */
    public void end() {
        running--;
    }

    /** Notes that an answer began, or goes on after a pause that this VM asked for. */
    public void beginResponse() {
        if (begunResponses == 0) {
            stalledFromMillis = clock.millis();
        }
        begunResponses++;
    }

    /** Notes that an answer that had begun ended, or is paused by this VM. */
    public void endResponse() {
        begunResponses--;
    }

    /**
     * Returns how many answers to this VM have begun and not ended.
     *
     * @return the count
     */
    public int begunResponses() {
        return begunResponses;
    }

    /**
     * Returns how long all answers that have begun have been without a byte.
     *
     * @return milliseconds, zero if no answer is under way
     */
    public long stalledMillis() {
        return begunResponses == 0
                ? 0
                : Math.min(health.millisSinceLastByte(), clock.millis() - stalledFromMillis);
    }

    /**
     * Notes that the worker turned a request away and wants none from this VM for a time.
     *
     * @param time the time
     */
    public void onRejected(final Duration time) {
        final long until = clock.millis() + time.toMillis();
        rejectsUntilMillis = Math.max(rejectsUntilMillis, until);
    }

    /**
     * Returns for how long the worker wants no request from this VM.
     *
     * @return the time, zero if it takes requests
     */
    public Duration rejectsFor() {
        return Duration.ofMillis(Math.max(0, rejectsUntilMillis - clock.millis()));
    }

    /**
     * Notes that the worker may have become cold without a word of it in its entry yet.
     *
     * @param time how long it may stay cold
     */
    public void onPossibleRestart(final Duration time) {
        coldUntilMillis = Math.max(coldUntilMillis, clock.millis() + time.toMillis());
    }

    /**
     * Returns how long the worker may stay cold.
     *
     * @return the time, zero if it is warm
     */
    public Duration warmUpLeft() {
        return Duration.ofMillis(Math.max(0, coldUntilMillis - clock.millis()));
    }

    /**
     * Returns when the worker may get its next request while it is cold.
     *
     * <p>Law: of the requests that are sent when this is zero, no more than the share lie within
     * {@link #WARM_UP_WINDOW_MILLIS}.
     *
     * @param share how many requests this VM may send it in a second
     * @return the time until then; until it is warm, if the share is 0
     */
    public Duration warmUpDelay(final int share) {
        if (share == 0) {
            return warmUpLeft();
        }
        final long spacing = (WARM_UP_WINDOW_MILLIS + share - 1) / share;
        return Duration.ofMillis(Math.max(0, lastBeginMillis + spacing - clock.millis()));
    }

    /**
     * Tells whether the worker has started again since, so that this is the state of a former life.
     *
     * @return true if its requests here will not be answered
     */
    public boolean isSuperseded() {
        return ended;
    }

    /** Notes that a later life of the worker has taken its place. */
    void onRestarted() {
        ended = true;
    }

    void update(final ServerEntry newer) {
        entry = newer;
        if (!newer.warmUpLeft().isZero()) {
            onPossibleRestart(newer.warmUpLeft());
        }
    }

    @Override
    public String toString() {
        return "TrackedServer[" + entry.id() + ", running=" + running + "]";
    }
}
