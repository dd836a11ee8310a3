package org.fennelstage.canary;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.time.MonotonicClock;

/**
 * Compares the responses of a service's new version with those of the current one.
 *
 * <p>Invariant: what is known of the current version stays when a rollout begins; what is known of
 * the new one begins anew with each rollout. Not thread-safe.
 */
final class VersionComparison {

    /** Parts of one stream depend on the same batch of its backend server. */
    private static final double LATER_PACE_WEIGHT = 0.5;

    private final MonotonicClock clock;
    private final Predicate<String> isNewVersion;
    private final Runnable onEvidence;
    private final CurrentVersion currentVersion = new CurrentVersion();
    private CanaryEvidence evidence = new CanaryEvidence();
    private BadResponseListener badResponseListener = (server, measure, millis, limit) -> {};
    private boolean begunLate;
    private boolean moved;

    /**
     * Creates a comparison without responses.
     *
     * @param clock the clock
     * @param isNewVersion whether a version is the new one of the present rollout
     * @param onEvidence runs after each change of the evidence
     */
    VersionComparison(
            final MonotonicClock clock,
            final Predicate<String> isNewVersion,
            final Runnable onEvidence) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.isNewVersion = Objects.requireNonNull(isNewVersion, "isNewVersion is null");
        this.onEvidence = Objects.requireNonNull(onEvidence, "onEvidence is null");
    }

    /** Sets the listener for responses of new versions that failed or are slow. */
    void onBadResponse(final BadResponseListener listener) {
        badResponseListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Begins anew with the new version of a rollout.
     *
     * @param late whether the rollout began before this VM received its order
     */
    void begin(final boolean late) {
        begunLate = late;
        moved = false;
        evidence = new CanaryEvidence();
    }

    /** Records that most traffic goes to the new version. */
    void onMoved() {
        moved = true;
    }

    /**
     * Begins to observe a response; the arguments are those of {@link Canary#observe}.
     *
     * @param testsLoad whether the request is part of a load test
     */
    ResponseObservation observe(
            final BackendServerId server,
            final String version,
            final ResponseKind kind,
            final boolean stream,
            final boolean timed,
            final boolean testsLoad) {
        Runnable onPaceClosed = () -> {};
        if (timed && isNewVersion.test(version)) {
            evidence.onBegun();
            onPaceClosed = evidence::onJudged;
        }
        return new ResponseObservation(
                this, clock, server, version, kind, stream, timed, testsLoad, onPaceClosed);
    }

    /** Adds whether a response failed. */
    void onOutcome(final ResponseObservation response, final boolean failed) {
        if (!isNewVersion.test(response.version())) {
            currentVersion.onOutcome(response.kind(), failed);
            return;
        }
        add(response, EvidenceKey.ofAllRoutes(Measure.FAILURE), failed);
        add(response, new EvidenceKey(Measure.FAILURE, response.kind().route()), failed);
        if (response.testsLoad()) {
            add(response, EvidenceKey.underLoad(response.server()), failed);
        }
        if (failed) {
            badResponseListener.onBadResponse(response.server(), Measure.FAILURE, 0, 0);
        }
    }

    /** Adds a time of a response; milliseconds. */
    void onTime(final ResponseObservation response, final Measure measure, final double millis) {
        if (!isNewVersion.test(response.version())) {
            currentVersion.onTime(measure, response.kind(), millis);
            return;
        }
        final OptionalDouble limit = limitMillis(measure, response.kind());
        if (limit.isPresent()) {
            onComparableTime(response, measure, millis, limit.getAsDouble());
        } else if (begunLate && measure == Measure.PACE) {
            evidence.onNotComparable();
        }
    }

    private void onComparableTime(
            final ResponseObservation response,
            final Measure measure,
            final double millis,
            final double limitMillis) {
        final boolean slow = millis >= limitMillis;
        add(response, EvidenceKey.ofAllRoutes(measure), slow);
        if (measure == Measure.PACE) {
            addMeanPace(response, millis, 1);
        }
        if (slow) {
            badResponseListener.onBadResponse(response.server(), measure, millis, limitMillis);
        }
    }

    /** Adds the pace of a later part of a stream; milliseconds. */
    void onLaterPace(final ResponseObservation response, final double millis) {
        if (isNewVersion.test(response.version())) {
            addMeanPace(response, millis, LATER_PACE_WEIGHT);
        } else {
            currentVersion.onTime(Measure.PACE, response.kind(), millis);
        }
    }

    private void add(final ResponseObservation response, final EvidenceKey key, final boolean bad) {
        final double usualRate = currentVersion.usualRate(key.measure(), response.kind());
        evidence.add(key, response.server(), bad, usualRate);
        onEvidence.run();
    }

    /**
     * Adds what a pace says about the mean of the new version. After the move only what speaks for
     * the version counts: its backend servers then read all prompts for the first time, which slows
     * any version.
     */
    private void addMeanPace(
            final ResponseObservation response, final double millis, final double weight) {
        final OptionalDouble ratio = currentVersion.meanEvidence(response.kind(), millis);
        if (ratio.isPresent() && (!moved || ratio.getAsDouble() <= 0)) {
            evidence.add(
                    EvidenceKey.ofAllRoutes(Measure.MEAN_PACE),
                    response.server(),
                    weight * ratio.getAsDouble());
            onEvidence.run();
        }
    }

    /** Returns the time from which a response is slow; milliseconds; empty if not known yet. */
    OptionalDouble limitMillis(final Measure measure, final ResponseKind kind) {
        return currentVersion.limitMillis(measure, kind);
    }

    /** Adds what another VM has seen of the new version. */
    void onReported(final RolloutEvidence reported) {
        evidence.onReported(reported);
        onEvidence.run();
    }

    /** Returns what this VM has seen of the new version. */
    Map<EvidenceKey, MeasureTotals> seenHere() {
        return evidence.own();
    }

    /** Returns how often this VM has seen a failure or a slow response of the new version. */
    int badSeenHere() {
        return evidence.ownBad();
    }

    /** Returns whether the new version has failed, with few good responses since. */
    boolean hasFailedRecently() {
        return evidence.hasFailedRecently();
    }

    /** Returns whether a backend server of the new version fails in a load test. */
    boolean failsUnderLoad(final BackendServerId server) {
        return evidence.failsUnderLoad(server);
    }

    /** Returns whether the new version is bad by the present evidence. */
    boolean isBad() {
        return evidence.isBad();
    }

    /**
     * Returns whether it is too early to give the new version all traffic.
     *
     * @param awaitsComparable whether to wait for responses that can be compared
     */
    boolean isInDoubt(final boolean awaitsComparable) {
        return evidence.isInDoubt() || (awaitsComparable && evidence.isUnproven());
    }

    @Override
    public String toString() {
        return evidence.toString();
    }
}
