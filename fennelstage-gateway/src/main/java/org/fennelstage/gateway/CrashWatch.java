package org.fennelstage.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fennelstage.crash.ClearedCrashes;
import org.fennelstage.crash.CrashLedger;
import org.fennelstage.crash.CrashReport;
import org.fennelstage.crash.Fingerprint;
import org.fennelstage.crash.Quarantine;
import org.fennelstage.crash.SuspectedCrashes;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.http.ConnectionPolicy;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.ProbeResult;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * Finds the requests that end the workers that run them, and has them refused.
 *
 * <p>Taken for the worker's fault, the end of a worker is answered by sending the request to the
 * next one, which ends as well, with all that it runs; its caller asks again, at another VM, and
 * within a second most workers of a service are gone. One sees it by workers that end one after the
 * other, and by one content in all those breaks. So the ends under a content are counted over all
 * its arrivals and all VMs ({@link CrashLedger}), and from the third on it is refused everywhere
 * ({@link Quarantine}).
 *
 * <p>A broken connection or silence alone is no end: workers lose answers and drop connections, and
 * links break. The worker is looked at; it has ended if nobody listens there any more, or if it
 * alone of its data centre does not answer. Confined to the event loop.
 */
public final class CrashWatch {

    /**
     * A worker that answers for longer than this before it ends was not ended by that answer's
     * request; milliseconds. Those that end their worker do so a moment after it begins to run
     * them; the rest is for a VM that reads late.
     */
    static final long SUSPECT_MILLIS = 2_000;

    /** A machine in the same region answers in milliseconds, also where nobody listens. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

    /** When a request may come back while it is not known yet whether its workers have ended. */
    private static final Duration UNTIL_DECIDED = PROBE_TIMEOUT.multipliedBy(2);

    /**
     * The probe's connection may carry the next request. It must stand for a moment: a process that
     * ends may close its connections before it stops to listen, and takes a last one meanwhile.
     */
    private static final ConnectionPolicy KEPT =
            new ConnectionPolicy(Duration.ofSeconds(4), 1, Duration.ofMillis(50));

    private final HttpClient client;
    private final CrashLedger ledger;
    private final Quarantine quarantine;
    private final SuspectedCrashes broken = SuspectedCrashes.empty();
    private Consumer<TrackedServer> endListener = server -> {};
    private Consumer<Fingerprint> quarantineListener = content -> {};
    private Consumer<CrashReport> reportListener = report -> {};
    private Consumer<ClearedCrashes> acquittalListener = acquittal -> {};
    private Runnable storeListener = () -> {};
    private Consumer<Fingerprint> liftedListener = content -> {};

    /**
     * Creates a watch that knows of no ends.
     *
     * @param clock the clock
     * @param client calls workers
     */
    public CrashWatch(final MonotonicClock clock, final HttpClient client) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.ledger = CrashLedger.of(clock);
        this.quarantine = Quarantine.of(clock);
    }

    /**
     * Returns the requests that are refused.
     *
     * @return the quarantine
     */
    public Quarantine quarantine() {
        return quarantine;
    }

    /**
     * Sets who tells the other VMs what this one finds.
     *
     * @param reports takes the ends of workers
     * @param acquittals takes the requests that were answered after all
     */
    public void onFound(
            final Consumer<CrashReport> reports, final Consumer<ClearedCrashes> acquittals) {
        reportListener = Objects.requireNonNull(reports, "reports is null");
        acquittalListener = Objects.requireNonNull(acquittals, "acquittals is null");
    }

    /**
     * Sets what notes a request for VMs that start later. It runs at once when one is refused: a VM
     * that starts within the next tenth of a second would not know it.
     *
     * @param listener notes what {@link #quarantine()} holds
     */
    public void onQuarantined(final Runnable listener) {
        storeListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets what notes in the store that a request is refused no longer, since it was answered.
     *
     * @param listener takes the request
     */
    public void onLifted(final Consumer<Fingerprint> listener) {
        liftedListener = Objects.requireNonNull(listener, "listener is null");
    }

    /** Sets what runs when a worker has ended, and when a request is refused from now on. */
    void onDecided(final Consumer<TrackedServer> ends, final Consumer<Fingerprint> quarantined) {
        endListener = Objects.requireNonNull(ends, "ends is null");
        quarantineListener = Objects.requireNonNull(quarantined, "quarantined is null");
    }

    /**
     * Tells for how long a request is to be refused.
     *
     * @param content the request
     * @return the time, empty if it may be sent
     */
    Optional<Duration> refusal(final Fingerprint content) {
        final Optional<Duration> left = quarantine.remaining(content);
        if (left.isPresent()) {
            return left;
        }
        final int ends = ledger.crashes(content) + broken.count(content);
        return ends >= CrashLedger.MAX_CRASHES ? Optional.of(UNTIL_DECIDED) : Optional.empty();
    }

    /**
     * Notes that a request's answer broke off or fell silent before it began, or a moment after.
     */
    void onBroken(final TrackedServer server, final Fingerprint content) {
        if (broken.add(server.entry().incarnation(), content)) {
            probe(server, result -> onFirstProbe(server, result));
        }
    }

    private void probe(final TrackedServer server, final Consumer<ProbeResult> result) {
        client.probe(Sockets.address(server.entry().address()), PROBE_TIMEOUT, KEPT, result);
    }

    /** One that turned the connection away is full or about to end; a second look tells. */
    private void onFirstProbe(final TrackedServer server, final ProbeResult result) {
        if (result == ProbeResult.TURNED_AWAY) {
            probe(server, second -> onProbed(server, second));
        } else {
            onProbed(server, result);
        }
    }

    private void onProbed(final TrackedServer server, final ProbeResult result) {
        final Incarnation incarnation = server.entry().incarnation();
        final Set<Fingerprint> contents = broken.take(incarnation);
        EventLog.write(
                Event.SERVER_PROBED,
                "server",
                incarnation,
                "result",
                result,
                "requests",
                contents.size());
        final boolean aloneSilent =
                result == ProbeResult.SILENT && server.health().isDataCentreReachable();
        if (result != ProbeResult.REFUSED && !aloneSilent) {
            return;
        }
        endListener.accept(server);
        final CrashReport report = new CrashReport(incarnation, contents);
        onReport(report);
        reportListener.accept(report);
    }

    /**
     * Takes the end of a worker, as this VM or another saw it.
     *
     * @param report the end
     */
    public void onReport(final CrashReport report) {
        for (final Fingerprint content : report.contents()) {
            final int ends = ledger.onCrash(content, report.server());
            if (ends > 1) {
                EventLog.write(
                        Event.REQUEST_SUSPECTED,
                        "content",
                        content,
                        "server",
                        report.server(),
                        "ends",
                        ends);
            }
            if (ends >= CrashLedger.MAX_CRASHES) {
                quarantine(content, "ends of servers");
            }
        }
    }

    /** Notes that a request was answered, which no request does that ends its workers. */
    void onAnswered(final Fingerprint content) {
        final Set<Incarnation> cleared = ledger.onResponse(content);
        if (!cleared.isEmpty()) {
            acquittalListener.accept(new ClearedCrashes(content, cleared));
            lift(content);
        }
    }

    /**
     * Serves a request again that was answered after all: copies of it were under way when the
     * third worker ended, and a wave of crashes hits sound requests as well.
     */
    private void lift(final Fingerprint content) {
        if (quarantine.release(content)) {
            EventLog.write(Event.QUARANTINE_ENDED, "content", content, "source", "answer");
            liftedListener.accept(content);
        }
    }

    /**
     * Takes the word of another VM that a request was answered.
     *
     * @param acquittal the request, and the ends that count no longer against it
     */
    public void onAcquittal(final ClearedCrashes acquittal) {
        ledger.clear(acquittal);
        lift(acquittal.content());
    }

    /**
     * Refuses a request from now on.
     *
     * @param content the request
     * @param source who found it, for the log
     */
    public void quarantine(final Fingerprint content, final String source) {
        if (quarantine.add(content)) {
            EventLog.write(
                    Event.REQUEST_QUARANTINED,
                    "content",
                    content,
                    "source",
                    source,
                    "for_s",
                    Quarantine.LIFETIME.toSeconds());
            quarantineListener.accept(content);
            storeListener.run();
        }
    }

    /**
     * Refuses a request no longer; the ends known so far count against it no more.
     *
     * @param content the request
     */
    public void release(final Fingerprint content) {
        ledger.onResponse(content);
        if (quarantine.release(content)) {
            EventLog.write(Event.QUARANTINE_ENDED, "content", content, "source", "store");
        }
    }
}
