package org.fennelstage.fleet;

import java.util.Objects;
import org.fennelstage.time.MonotonicClock;

/**
 * Passive health tracking of one backend server, based on this VM's own requests and on what other
 * VMs report of theirs.
 *
 * <p>Unlike health checks, it detects a backend server that fails some of its requests, and costs
 * no extra requests. Two conditions are kept apart: an unreachable server is excluded for a pause,
 * and a server that fails more often than the route's baseline is used only after all others until
 * its failure rate has decayed.
 *
 * <p>Not thread-safe.
 */
public final class ServerHealth {

    /** The health of a backend server; earlier constants are preferred. */
    public enum Tier {
        /** Nothing indicates a failure. */
        HEALTHY,
        /** Fails more often than others; used when no healthy backend server has room. */
        SUSPECT,
        /** Fails most requests; used only when no other one is left, with room or without. */
        FAILING,
        /** Could not be reached; used only for probes, or when no other one is left. */
        UNREACHABLE;

        /**
         * Returns whether a request is more likely to succeed than not.
         *
         * @return false for {@link #FAILING} and {@link #UNREACHABLE}
         */
        public boolean isUsable() {
            return this == HEALTHY || this == SUSPECT;
        }
    }

    /**
     * Weight of one response in the excess failure rate: two consecutive failures reach {@link
     * #SUSPECT_RATE}, one does not.
     */
    private static final double WEIGHT = 0.2;

    /** Excess failure rate from which a backend server is suspect. */
    static final double SUSPECT_RATE = 0.3;

    /** Excess failure rate from which a request is lost more likely than not. */
    private static final double FAILING_RATE = 0.5;

    /** Half-life of the excess failure rate, so that a recovered server gets requests again. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /**
     * Half-life of the outcomes that VMs pool; short, since a server that no longer fails gets few
     * requests until they have decayed.
     */
    private static final double OUTCOME_HALF_LIFE_MILLIS = 1_000;

    /**
     * Half-lives after which the outcomes of as many as 80,000 responses round to nothing in a
     * report, since 0.005 * 2^24 is 83,886.
     */
    private static final double HALF_LIVES_TO_NOTHING = 24;

    /** How long an outlier stays suspect at least; longer than until it is compared again. */
    private static final long OUTLIER_MILLIS = 300;

    /**
     * Time over which VMs end their suspicion of an outlier; several times as long as outcomes take
     * to reach the other VMs.
     */
    private static final long OUTLIER_SPREAD_MILLIS = 2_000;

    /** First pause after a failure to connect; doubles up to {@link #MAX_PAUSE_MILLIS}. */
    private static final long FIRST_PAUSE_MILLIS = 500;

    private static final long MAX_PAUSE_MILLIS = 2_000;

    /**
     * How long a report of another VM, or inactivity, counts at least. By its end a crashed backend
     * server has usually restarted or lost its entry; otherwise one VM finds the failure again for
     * all.
     */
    private static final long SUSPICION_MILLIS = 2_000;

    /** A byte received from the backend server within this time overrides reports of other VMs. */
    private static final long OWN_BYTE_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final Reachability dataCentre;
    private double excessRate;
    private long excessAtMillis;
    private Outcomes outcomes = Outcomes.NONE;
    private long outcomesAtMillis;
    private double outlierRate;
    private long outlierUntilMillis = Long.MIN_VALUE;
    private int consecutiveUnreachable;
    private long pausedUntilMillis;
    private long lastByteMillis;
    private long suspectUntilMillis = Long.MIN_VALUE;
    private long lastUnreachableMillis = Long.MIN_VALUE / 2;

    private ServerHealth(final MonotonicClock clock, final Reachability dataCentre) {
        this.clock = clock;
        this.dataCentre = dataCentre;
        this.lastByteMillis = clock.millis();
        this.excessAtMillis = lastByteMillis;
        this.outcomesAtMillis = lastByteMillis;
    }

    /**
     * Returns the initial health of a backend server, without failures.
     *
     * @param clock the clock
     * @param dataCentre the state of its data centre, shared by all backend servers there
     * @return the health
     */
    public static ServerHealth of(final MonotonicClock clock, final Reachability dataCentre) {
        return new ServerHealth(
                Objects.requireNonNull(clock, "clock is null"),
                Objects.requireNonNull(dataCentre, "dataCentre is null"));
    }

    /**
     * Returns the current tier.
     *
     * @return the tier
     */
    public Tier tier() {
        final boolean paused = consecutiveUnreachable > 0 && clock.millis() < pausedUntilMillis;
        if (paused || dataCentre.isUnreachable()) {
            return Tier.UNREACHABLE;
        }
        final double failureRate = Math.max(decayedExcessRate(), isOutlier() ? outlierRate : 0);
        if (failureRate >= FAILING_RATE) {
            return Tier.FAILING;
        }
        final boolean suspect =
                clock.millis() < suspectUntilMillis
                        || isUnconfirmed()
                        || isOutlier()
                        || failureRate >= SUSPECT_RATE;
        return suspect ? Tier.SUSPECT : Tier.HEALTHY;
    }

    /**
     * Returns whether the backend server was unreachable and may be probed now, by a connection or
     * by a request that can afford a failed connection attempt.
     *
     * @return true after each pause, until it accepts a connection or responds
     */
    public boolean probeDue() {
        return isUnconfirmed() && tier() != Tier.UNREACHABLE;
    }

    /** Records that a probe is made; no other one is made during the next pause. */
    public void onProbe() {
        pausedUntilMillis = clock.millis() + FIRST_PAUSE_MILLIS;
        if (dataCentre.isSuspect()) {
            dataCentre.onProbe();
        }
    }

    /**
     * Records that the backend server could not be reached.
     *
     * @return whether to report this to other VMs: true if this VM recently received bytes from the
     *     same data centre, so that the failure is not on its own network path
     */
    public boolean onUnreachable() {
        final boolean serverAlone = dataCentre.receivedBytesRecently();
        final long pause = FIRST_PAUSE_MILLIS << Math.min(consecutiveUnreachable, 2);
        consecutiveUnreachable++;
        lastUnreachableMillis = clock.millis();
        dataCentre.onUnreachable();
        pausedUntilMillis = clock.millis() + Math.min(pause, MAX_PAUSE_MILLIS);
        return serverAlone;
    }

    /**
     * Handles a report of another VM that it could not reach the backend server.
     *
     * <p>In a large fleet a VM sends to each backend server rarely; without reports, every VM would
     * lose a request to an unreachable one. A report only makes the server suspect, since the
     * failure may be on the other VM's network path.
     *
     * @param draw random number in [0, 1) that spreads the end of the report's validity over the
     *     VMs, so that the first VM to try again can report for the others
     * @return false if the report is ignored because this VM received a byte from the backend
     *     server recently
     */
    public boolean onPeerReport(final double draw) {
        if (millisSinceLastByte() < OWN_BYTE_MILLIS) {
            return false;
        }
        suspectFor(draw);
        return true;
    }

    /**
     * Records that the backend server did not respond. Unlike one that could not be reached, it
     * stays suspect for a while even if it accepts connections.
     *
     * @param draw random number in [0, 1) that spreads the end of the suspicion over the VMs
     * @return as {@link #onUnreachable()}
     */
    public boolean onInactive(final double draw) {
        suspectFor(draw);
        return onUnreachable();
    }

    private void suspectFor(final double draw) {
        suspectUntilMillis = clock.millis() + (long) (SUSPICION_MILLIS * (1 + draw));
    }

    /**
     * Records that the backend server accepted a connection after it was unreachable. Reports of
     * other VMs and inactivity count on, since they may be about a server that accepts connections
     * and does not respond.
     */
    public void onConnected() {
        endUnreachable();
        dataCentre.onConnected();
    }

    private void endUnreachable() {
        if (consecutiveUnreachable > 0) {
            lastUnreachableMillis = clock.millis();
        }
        consecutiveUnreachable = 0;
    }

    /** Records that bytes were received from the backend server. */
    public void onBytesReceived() {
        endUnreachable();
        suspectUntilMillis = Long.MIN_VALUE;
        dataCentre.onBytesReceived();
        lastByteMillis = clock.millis();
    }

    /**
     * Records the end of a request.
     *
     * @param failed whether it failed
     * @param baselineRate the route's baseline failure rate, in [0, 1]
     */
    public void onEnd(final boolean failed, final double baselineRate) {
        final double observed = (failed ? 1 : 0) - baselineRate;
        excessRate = Math.max(0, decayedExcessRate() + WEIGHT * (observed - excessRate));
        excessAtMillis = clock.millis();
        outcomes = outcomes().plus(Outcomes.of(failed, baselineRate));
        outcomesAtMillis = excessAtMillis;
    }

    /**
     * Returns the outcomes of this VM's recent requests.
     *
     * @return the outcomes, weighted by their age
     */
    Outcomes outcomes() {
        if (outcomes.responses() == 0) {
            return outcomes;
        }
        final double age = clock.millis() - outcomesAtMillis;
        return outcomes.times(Math.pow(0.5, age / OUTCOME_HALF_LIFE_MILLIS));
    }

    /** Returns whether a report may contain outcomes of this VM's requests. */
    boolean hasRecentResponses() {
        return outcomes.responses() > 0
                && clock.millis() - outcomesAtMillis
                        <= OUTCOME_HALF_LIFE_MILLIS * HALF_LIVES_TO_NOTHING;
    }

    /** Returns the excess of the outcomes when the last response ended, not less than it is now. */
    double excessAtLastEnd() {
        return Math.max(0, outcomes.excess());
    }

    /**
     * Records that the backend server fails more often than others, by the responses to all VMs.
     *
     * @param draw random number in [0, 1) that spreads the end of the suspicion over the VMs
     */
    void onOutlier(final double draw) {
        outlierUntilMillis =
                clock.millis() + OUTLIER_MILLIS + (long) (OUTLIER_SPREAD_MILLIS * draw);
    }

    /**
     * Records the excess failure rate of an outlier.
     *
     * @param rate the rate by the responses to all VMs; counts while the server is an outlier
     */
    void onOutlierRate(final double rate) {
        outlierRate = rate;
    }

    /**
     * Returns whether the backend server is suspect by the responses to all VMs.
     *
     * @return true until a while after the last {@link #onOutlier}
     */
    boolean isOutlier() {
        return clock.millis() < outlierUntilMillis;
    }

    /**
     * Returns whether the data centre of the backend server is reachable from this VM, so that a
     * missing response is the fault of the server itself.
     *
     * @return true if a byte was received from the data centre recently
     */
    public boolean isDataCentreReachable() {
        return dataCentre.receivedBytesRecently();
    }

    /**
     * Returns the time since the last byte from the backend server.
     *
     * @return milliseconds
     */
    public long millisSinceLastByte() {
        return clock.millis() - lastByteMillis;
    }

    /**
     * Returns the time since the backend server was unreachable. It may have restarted since then.
     *
     * @return milliseconds since the last failure, or since the first byte after it
     */
    public long millisSinceUnreachable() {
        return clock.millis() - lastUnreachableMillis;
    }

    /**
     * Returns whether the server or its data centre was unreachable from this VM, and nothing shows
     * that it is reachable again.
     *
     * @return true until it accepts a connection or responds
     */
    public boolean isUnconfirmed() {
        return consecutiveUnreachable > 0 || dataCentre.isSuspect();
    }

    private double decayedExcessRate() {
        if (excessRate == 0) {
            return 0;
        }
        final double age = clock.millis() - excessAtMillis;
        return excessRate * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }
}
