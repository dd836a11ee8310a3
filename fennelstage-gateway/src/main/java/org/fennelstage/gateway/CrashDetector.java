package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
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
import org.fennelstage.crash.RequestFingerprints;
import org.fennelstage.crash.SuspectedCrashes;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ProbeResult;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * Detects contents and parts of prompts that crash backend servers, and quarantines them.
 *
 * <p>A retry of a request with one, or another request with the same part, crashes the next backend
 * server with everything it runs. Therefore crashes are counted over all requests and all VMs
 * ({@link CrashLedger}), and once the cause is found, requests with it are rejected by all VMs
 * ({@link Quarantine}).
 *
 * <p>Rejected requests get no responses that could prove a verdict wrong. For a part, which other
 * requests may share, single requests are let through as trials: each once, to one backend server.
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
    private final SuspectedCrashes endedWithConnection = SuspectedCrashes.empty();
    private Consumer<TrackedServer> crashListener = server -> {};
    private Consumer<Fingerprint> quarantineListener = fingerprint -> {};
    private Consumer<CrashReport> reportListener = report -> {};
    private Consumer<ClearedCrashes> clearedListener = cleared -> {};
    private Runnable storeListener = () -> {};
    private Consumer<Fingerprint> releasedListener = fingerprint -> {};
    private final Set<Fingerprint> rejectedParts = new HashSet<>();
    private final Set<Fingerprint> trials = new HashSet<>();

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
     * Sets the listener for contents and parts that this VM released from quarantine, since they
     * are not the cause of the crashes.
     *
     * @param listener receives the fingerprint
     */
    public void onReleased(final Consumer<Fingerprint> listener) {
        releasedListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Returns the quarantined parts for which this VM has rejected requests since the last call.
     *
     * @return their fingerprints
     */
    public Set<Fingerprint> takeRejectedParts() {
        final Set<Fingerprint> taken = Set.copyOf(rejectedParts);
        rejectedParts.clear();
        return taken;
    }

    /**
     * Lets the next request with a quarantined part through.
     *
     * @param part the part
     */
    public void allowTrial(final Fingerprint part) {
        trials.add(part);
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
     * @param request the request
     * @return the time, empty if the request may be sent
     */
    public Optional<Duration> rejectionTime(final RequestFingerprints request) {
        final Optional<Duration> remaining =
                request.all()
                        .map(quarantine::remaining)
                        .flatMap(Optional::stream)
                        .max(Comparator.naturalOrder());
        if (remaining.isPresent()) {
            request.parts().stream().filter(this::isQuarantined).forEach(rejectedParts::add);
            return remaining;
        }
        final int crashes = ledger.crashes(request.content()) + suspected.count(request.content());
        return crashes >= CrashLedger.MAX_CRASHES
                ? Optional.of(PROBE_RETRY_AFTER)
                : Optional.empty();
    }

    private boolean isQuarantined(final Fingerprint fingerprint) {
        return quarantine.remaining(fingerprint).isPresent();
    }

    /**
     * Uses up the trials of a rejected request's quarantined parts, if all of them have one.
     *
     * @param request the request
     * @return the parts; empty if the request may not be sent, else it may be to one backend server
     */
    public Set<Fingerprint> takeTrial(final RequestFingerprints request) {
        final Set<Fingerprint> quarantined =
                request.all().filter(this::isQuarantined).collect(Collectors.toSet());
        if (!trials.containsAll(quarantined)) {
            return Set.of();
        }
        trials.removeAll(quarantined);
        quarantined.forEach(
                part ->
                        EventLog.write(
                                Event.QUARANTINE_TRIAL,
                                "content",
                                part,
                                "request_content",
                                request.content()));
        return quarantined;
    }

    /** Lets another request through instead of a trial that reached no backend server. */
    void returnTrial(final Set<Fingerprint> parts) {
        parts.stream().filter(this::isQuarantined).forEach(trials::add);
    }

    /** Handles a response that broke off or became inactive before its start or shortly after. */
    void onBrokenResponse(final TrackedServer server, final RequestFingerprints request) {
        if (suspected.add(server.entry().incarnation(), request)) {
            probe.run(server, result -> onFirstProbe(server, result));
        }
    }

    /**
     * Handles a response that ended with its connection, as it also does when the backend server
     * crashes. Unlike a broken response it does not count before the crash is known.
     */
    void onEndedWithConnection(final TrackedServer server, final RequestFingerprints request) {
        if (endedWithConnection.add(server.entry().incarnation(), request)) {
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
        final Set<RequestFingerprints> requests = new HashSet<>(suspected.take(incarnation));
        requests.addAll(endedWithConnection.take(incarnation));
        EventLog.write(
                Event.SERVER_PROBED,
                "server",
                incarnation,
                "result",
                result,
                "requests",
                requests.size(),
                "contents",
                contents(requests));
        final boolean onlyServerSilent =
                result == ProbeResult.NO_RESPONSE
                        && server.health().isDataCentreReachable()
                        && reachesMost.getAsBoolean();
        if (result != ProbeResult.REFUSED && !onlyServerSilent) {
            return;
        }
        crashListener.accept(server);
        if (requests.isEmpty()) {
            return;
        }
        final CrashReport report = new CrashReport(incarnation, requests);
        onReport(report);
        reportListener.accept(report);
    }

    private static String contents(final Set<RequestFingerprints> requests) {
        return requests.stream()
                .map(request -> request.content().toString())
                .collect(Collectors.joining(","));
    }

    /**
     * Records a crash of a backend server that this VM or another one detected.
     *
     * @param report the crash
     */
    public void onReport(final CrashReport report) {
        if (ledger.contains(report)) {
            return;
        }
        final Set<Fingerprint> causes = ledger.onCrash(report);
        report.requests().stream()
                .flatMap(RequestFingerprints::all)
                .distinct()
                .forEach(fingerprint -> logSuspected(fingerprint, report.server()));
        causes.forEach(cause -> quarantine(cause, "server crashes"));
    }

    private void logSuspected(final Fingerprint fingerprint, final Incarnation server) {
        final int crashes = ledger.crashes(fingerprint);
        if (crashes > 1) {
            EventLog.write(
                    Event.REQUEST_SUSPECTED,
                    "content",
                    fingerprint,
                    "server",
                    server,
                    "ends",
                    crashes);
        }
    }

    /**
     * Clears the content and the parts of a request that got a complete response, since what
     * crashes backend servers gets none.
     */
    public void onResponse(final RequestFingerprints request) {
        ledger.onResponse(request).forEach(clearedListener);
        request.all().forEach(fingerprint -> release(fingerprint, "answer"));
    }

    /** Releases what is not the cause of the crashes. */
    private void release(final Fingerprint fingerprint, final String source) {
        trials.remove(fingerprint);
        if (quarantine.release(fingerprint)) {
            ledger.removeCause(fingerprint);
            EventLog.write(Event.QUARANTINE_ENDED, "content", fingerprint, "source", source);
            releasedListener.accept(fingerprint);
        }
    }

    /**
     * Clears a content or part with which another VM received a response.
     *
     * @param cleared the content or part, and the crashes that no longer count against it
     */
    public void onClearedCrashes(final ClearedCrashes cleared) {
        ledger.clear(cleared);
        release(cleared.suspect(), "answer");
    }

    /**
     * Quarantines a content or part.
     *
     * @param fingerprint its fingerprint
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
                    "ends",
                    ledger.crashes(fingerprint),
                    "for_s",
                    Quarantine.LIFETIME.toSeconds());
            ledger.addCause(fingerprint);
            ledger.explainedCauses().forEach(cause -> release(cause, "explained"));
            quarantineListener.accept(fingerprint);
            storeListener.run();
        }
    }

    /**
     * Releases a content or part, whose object was deleted from the store; the crashes known so far
     * no longer count against it.
     *
     * @param fingerprint its fingerprint
     */
    public void release(final Fingerprint fingerprint) {
        ledger.removeCause(fingerprint);
        trials.remove(fingerprint);
        if (quarantine.release(fingerprint)) {
            EventLog.write(Event.QUARANTINE_ENDED, "content", fingerprint, "source", "store");
        }
    }

    /**
     * Ends the quarantines whose time has passed.
     *
     * @return the fingerprints of the contents and parts
     */
    public List<Fingerprint> removeExpired() {
        final List<Fingerprint> expired = quarantine.removeExpired();
        for (final Fingerprint fingerprint : expired) {
            ledger.removeCause(fingerprint);
            trials.remove(fingerprint);
            EventLog.write(Event.QUARANTINE_ENDED, "content", fingerprint, "source", "time");
        }
        return expired;
    }
}
