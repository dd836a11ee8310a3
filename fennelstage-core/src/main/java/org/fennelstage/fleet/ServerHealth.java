package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * Evidence about one worker from this VM's own requests.
 *
 * <p>Health checks do not show a worker that fails a part of its requests, and cost a request each;
 * the answers to real requests show it for nothing. Two kinds of evidence are kept apart: a worker
 * that cannot be reached is left out for a pause, and a worker whose answers fail more often than
 * its route's usual share is used after all others until the evidence has faded.
 *
 * <p>Not thread-safe.
 */
public final class ServerHealth {

    /** How healthy a worker is; earlier ones are preferred. */
    public enum Tier {
        /** Nothing speaks against it. */
        SOUND,
        /** It fails more often than others; used when no sound worker is left. */
        SUSPECT,
        /** It could not be reached; used only to try, or when no other worker is left. */
        UNREACHABLE
    }

    /**
     * Weight of one answer in the excess failure share: two failures in a row reach the suspect
     * threshold, one does not.
     */
    private static final double WEIGHT = 0.2;

    /** Excess share of failures from which a worker is suspect. */
    private static final double SUSPECT_SHARE = 0.3;

    /** Time in which evidence halves, so that a mended worker gets traffic again; milliseconds. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** First pause after a worker could not be reached; doubles up to the longest; milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 500;

    private static final long LONGEST_PAUSE_MILLIS = 2_000;

    /**
     * How long the word of another VM counts; milliseconds. A worker that crashed is back, or gone
     * from the store, after some seconds; when the word has faded one VM finds out for all again.
     */
    private static final long HEARSAY_MILLIS = 2_000;

    /** A byte that this VM got from the worker this lately outweighs the word of others. */
    private static final long OWN_SIGN_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final Reachability dataCentre;
    private double excess;
    private long excessAtMillis;
    private int unreachable;
    private long pausedUntilMillis;
    private long lastSignMillis;
    private long hearsayUntilMillis = Long.MIN_VALUE;
    private long outOfReachMillis = Long.MIN_VALUE / 2;

    private ServerHealth(final MonotonicClock clock, final Reachability dataCentre) {
        this.clock = clock;
        this.dataCentre = dataCentre;
        this.lastSignMillis = clock.millis();
        this.excessAtMillis = lastSignMillis;
    }

    /**
     * Returns the health of a worker of which nothing is known.
     *
     * @param clock the clock
     * @param dataCentre the state of its data centre, shared by all workers there
     * @return the health
     */
    public static ServerHealth of(final MonotonicClock clock, final Reachability dataCentre) {
        return new ServerHealth(
                Objects.requireNonNull(clock, "clock is null"),
                Objects.requireNonNull(dataCentre, "dataCentre is null"));
    }

    /**
     * Returns how far the worker is to be preferred.
     *
     * @return the tier
     */
    public Tier tier() {
        final boolean paused = unreachable > 0 && clock.millis() < pausedUntilMillis;
        if (paused || dataCentre.cut()) {
            return Tier.UNREACHABLE;
        }
        final boolean hearsay = clock.millis() < hearsayUntilMillis;
        final boolean suspect = hearsay || doubtful() || excessNow() >= SUSPECT_SHARE;
        return suspect ? Tier.SUSPECT : Tier.SOUND;
    }

    /**
     * Tells whether the worker could not be reached and is to be tried again. Requests that lose
     * little by a wait in vain do that; all others use workers that answer.
     *
     * @return true after each pause, until it answers
     */
    public boolean probeDue() {
        return doubtful() && tier() != Tier.UNREACHABLE;
    }

    /** Notes that a request tries the worker again: no other does so within the next pause. */
    public void onProbe() {
        pausedUntilMillis = clock.millis() + FIRST_PAUSE_MILLIS;
        if (dataCentre.doubtful()) {
            dataCentre.onProbe();
        }
    }

    /**
     * Notes that the worker could not be reached.
     *
     * @return whether that speaks against this worker alone, so that other VMs should know: bytes
     *     come from others in its data centre, so this VM's own way there works
     */
    public boolean onUnreachable() {
        final boolean ofThisWorkerAlone = dataCentre.heardLately();
        final long pause = FIRST_PAUSE_MILLIS << Math.min(unreachable, 2);
        unreachable++;
        outOfReachMillis = clock.millis();
        dataCentre.onUnreachable();
        pausedUntilMillis = clock.millis() + Math.min(pause, LONGEST_PAUSE_MILLIS);
        return ofThisWorkerAlone;
    }

    /**
     * Takes the word of another VM that it could not reach the worker.
     *
     * <p>In a large fleet a VM meets each worker once in many seconds. Left to itself, every VM
     * would find out by a request of its own that a worker is dark, and that request waits for more
     * than a second. The word only puts the worker behind others: it may be the other VM's way that
     * is broken.
     *
     * @param draw spreads the end of the word over VMs, in [0, 1): those that believe it for longer
     *     hear of the next try of the others
     * @return false if this VM heard the worker itself a moment ago
     */
    public boolean onPeerReport(final double draw) {
        if (millisSinceLastByte() < OWN_SIGN_MILLIS) {
            return false;
        }
        hearsayUntilMillis = clock.millis() + (long) (HEARSAY_MILLIS * (1 + draw));
        return true;
    }

    /** Notes that a byte came from the worker. */
    public void onBytesReceived() {
        if (unreachable > 0) {
            outOfReachMillis = clock.millis();
        }
        unreachable = 0;
        hearsayUntilMillis = Long.MIN_VALUE;
        dataCentre.onBytesReceived();
        lastSignMillis = clock.millis();
    }

    /**
     * Notes how a request ended.
     *
     * @param failed whether it failed
     * @param usualShare the share of failures that the route has anyway, in [0, 1]
     */
    public void onEnd(final boolean failed, final double usualShare) {
        final double observed = (failed ? 1 : 0) - usualShare;
        excess = Math.max(0, excessNow() + WEIGHT * (observed - excess));
        excessAtMillis = clock.millis();
    }

    /**
     * Tells whether this VM's way to the worker's data centre works, so that a worker there that
     * does not answer is itself at fault.
     *
     * @return true if another worker of the data centre sent a byte a moment ago
     */
    public boolean isDataCentreReachable() {
        return dataCentre.heardLately();
    }

    /**
     * Returns the time since the worker last sent a byte.
     *
     * @return milliseconds
     */
    public long millisSinceLastByte() {
        return clock.millis() - lastSignMillis;
    }

    /**
     * Returns the time since the worker was out of reach. It may have started again meanwhile.
     *
     * @return milliseconds since the last failure, or since the first byte after it
     */
    public long backMillis() {
        return clock.millis() - outOfReachMillis;
    }

    /** It, or its data centre, could not be reached, and no byte has come since. */
    private boolean doubtful() {
        return unreachable > 0 || dataCentre.doubtful();
    }

    private double excessNow() {
        if (excess == 0) {
            return 0;
        }
        final double age = clock.millis() - excessAtMillis;
        return excess * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }
}
