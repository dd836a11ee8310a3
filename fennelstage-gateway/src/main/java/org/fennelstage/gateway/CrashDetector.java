package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.CrashLedger;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.Quarantine;
import org.fennelstage.crash.SuspectedCrashes;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ProbeResult;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * Detects requests that crash backend servers, and quarantines them.
 *
 * <p>A retry of such a request crashes the next backend server with everything it runs. Therefore
 * crashes are counted per fingerprint over all requests and all VMs ({@link CrashLedger}), and from
 * the third crash on the request is rejected by all VMs ({@link Quarantine}).
 *
 * <p>A broken connection or inactivity alone does not prove a crash. The backend server is probed;
 * it has crashed if its port refuses connections, or if it is the only one of its data centre that
 * does not respond and this VM reaches most of the others.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class CrashDetector {

    /**
     * How long a response may last before its backend server crashes for the request still to be
     * suspected of the crash; milliseconds.
     */
    static final long MAX_SUSPECT_RESPONSE_MILLIS = 2_000;

    /** Retry time of a request while probes decide whether its backend servers have crashed. */
    private static final Duration PROBE_RETRY_AFTER = ConnectionProbe.TIMEOUT.multipliedBy(2);

    private final BooleanSupplier reachesMost;
    private final ConnectionProbe probe;
    private final CrashLedger ledger;
    private final Quarantine quarantine;
    private final SuspectedCrashes suspected = SuspectedCrashes.empty();
    private Consumer<TrackedServer> crashListener = server -> {};
    private Consumer<Fingerprint> quarantineListener = fingerprint -> {};
    private Consumer<CrashReport> reportListener = report -> {};
    private Consumer<ClearedCrashes> clearedListener = cleared -> {};
    private Runnable storeListener = () -> {};
    private Consumer<Fingerprint> releasedByResponseListener = fingerprint -> {};

    /**
     * Creates a detector without known crashes.
     *
     * @param clock the clock
     * @param client opens connections to backend servers
     * @param reachesMost whether this VM reaches most backend servers
     */
    public CrashDetector(
            final MonotonicClock clock,
            final HttpClient client,
            final BooleanSupplier reachesMost) {
        this.reachesMost = Objects.requireNonNull(reachesMost, "reachesMost is null");
        this.probe = new ConnectionProbe(client);
        this.ledger = CrashLedger.of(clock);
        this.quarantine = Quarantine.of(clock);
    }

    /**
     * Returns the quarantined requests.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Sets the listeners that notify the other VMs.
     *
     * @param reports receives crashes of backend servers
     * @param cleared receives requests that got a response, with the crashes that no longer count
     *     against them
     */
    public void onDetected(
            final Consumer<CrashReport> reports, final Consumer<ClearedCrashes> cleared) {
        reportListener = Objects.requireNonNull(reports, "reports is null");
        clearedListener = Objects.requireNonNull(cleared, "cleared is null");
    }

    /**
     * Sets the listener that writes the quarantine to the store for VMs that start later. It runs
     * at once when a request is quarantined; a VM that starts within the next tenth of a second
     * would not know of it otherwise.
     *
     * @param listener writes the contents of {@link #quarantine()}
     */
    public void onQuarantined(final Runnable listener) {
        storeListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets the listener for requests that were released from quarantine because they got a
     * response.
     *
     * @param listener receives the fingerprint
     */
    public void onReleasedByResponse(final Consumer<Fingerprint> listener) {
        releasedByResponseListener = Objects.requireNonNull(listener, "listener is null");
    }

    /** Sets the listeners for crashes of backend servers and for newly quarantined requests. */
    void setListeners(
            final Consumer<TrackedServer> crashes, final Consumer<Fingerprint> quarantined) {
        crashListener = Objects.requireNonNull(crashes, "crashes is null");
        quarantineListener = Objects.requireNonNull(quarantined, "quarantined is null");
    }

    /**
     * Returns how long a request is to be rejected.
     *
     * @param fingerprint the request
     * @return the time, empty if the request may be sent
     */
    Optional<Duration> rejectionTime(final Fingerprint fingerprint) {
        final Optional<Duration> remaining = quarantine.remaining(fingerprint);
        if (remaining.isPresent()) {
            return remaining;
        }
        final int crashes = ledger.crashes(fingerprint) + suspected.count(fingerprint);
        return crashes >= CrashLedger.MAX_CRASHES
                ? Optional.of(PROBE_RETRY_AFTER)
                : Optional.empty();
    }

    /** Handles a response that broke off or became inactive before its start or shortly after. */
    void onBrokenResponse(final TrackedServer server, final Fingerprint fingerprint) {
        if (suspected.add(server.entry().incarnation(), fingerprint)) {
            probe.run(server, result -> onFirstProbe(server, result));
        }
    }

    /**
     * Probes a second time if the connection was closed at once: the backend server is at its
     * connection limit or about to crash.
     */
    private void onFirstProbe(final TrackedServer server, final ProbeResult result) {
        if (result == ProbeResult.CLOSED) {
            probe.run(server, second -> onProbed(server, second));
        } else {
            onProbed(server, result);
        }
    }

    private void onProbed(final TrackedServer server, final ProbeResult result) {
        final Incarnation incarnation = server.entry().incarnation();
        final Set<Fingerprint> fingerprints = suspected.take(incarnation);
        EventLog.write(
                Event.SERVER_PROBED,
                "server",
                incarnation,
                "result",
                result,
                "requests",
                fingerprints.size(),
                "contents",
                joined(fingerprints));
        final boolean onlyServerSilent =
                result == ProbeResult.NO_RESPONSE
                        && server.health().isDataCentreReachable()
                        && reachesMost.getAsBoolean();
        if (result != ProbeResult.REFUSED && !onlyServerSilent) {
            return;
        }
        crashListener.accept(server);
        final CrashReport report = new CrashReport(incarnation, fingerprints);
        onReport(report);
        reportListener.accept(report);
    }

    private static String joined(final Set<Fingerprint> fingerprints) {
        return fingerprints.stream().map(Fingerprint::toString).collect(Collectors.joining(","));
    }

    /**
     * Records a crash of a backend server that this VM or another one detected.
     *
     * @param report the crash
     */
    public void onReport(final CrashReport report) {
        for (final Fingerprint fingerprint : report.contents()) {
            final int crashes = ledger.onCrash(fingerprint, report.server());
            if (crashes > 1) {
                EventLog.write(
                        Event.REQUEST_SUSPECTED,
                        "content",
                        fingerprint,
                        "server",
                        report.server(),
                        "ends",
                        crashes);
            }
            if (crashes >= CrashLedger.MAX_CRASHES) {
                quarantine(fingerprint, "server crashes");
            }
        }
    }

    /**
     * Clears a request that got a response, since a request that crashes backend servers gets none.
     */
    void onResponse(final Fingerprint fingerprint) {
        final Set<Incarnation> cleared = ledger.onResponse(fingerprint);
        if (!cleared.isEmpty()) {
            clearedListener.accept(new ClearedCrashes(fingerprint, cleared));
            releaseAfterResponse(fingerprint);
        }
    }

    /** Releases a request that got a response: it was hit by crashes that it did not cause. */
    private void releaseAfterResponse(final Fingerprint fingerprint) {
        if (quarantine.release(fingerprint)) {
            EventLog.write(Event.QUARANTINE_ENDED, "content", fingerprint, "source", "answer");
            releasedByResponseListener.accept(fingerprint);
        }
    }

    /**
     * Clears a request that got a response at another VM.
     *
     * @param cleared the request, and the crashes that no longer count against it
     */
    public void onClearedCrashes(final ClearedCrashes cleared) {
        ledger.clear(cleared);
        releaseAfterResponse(cleared.content());
    }

    /**
     * Quarantines a request.
     *
     * @param fingerprint the request
     * @param source where the decision comes from, for the log
     */
    public void quarantine(final Fingerprint fingerprint, final String source) {
        if (quarantine.add(fingerprint)) {
            EventLog.write(
                    Event.REQUEST_QUARANTINED,
                    "content",
                    fingerprint,
                    "source",
                    source,
                    "for_s",
                    Quarantine.LIFETIME.toSeconds());
            quarantineListener.accept(fingerprint);
            storeListener.run();
        }
    }

    /**
     * Releases a request from quarantine; the crashes known so far no longer count against it.
     *
     * @param fingerprint the request
     */
    public void release(final Fingerprint fingerprint) {
        ledger.onResponse(fingerprint);
        if (quarantine.release(fingerprint)) {
            EventLog.write(Event.QUARANTINE_ENDED, "content", fingerprint, "source", "store");
        }
    }
}
