package org.fennelstage.vm;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;

/**
 * Responds to the load balancer's health checks.
 *
 * <p>Invariants: a VM becomes ready once it knows a configuration, the backend servers, the
 * rollouts, the evacuations and the quarantine; it stays ready while the store is unavailable, and
 * is never ready again once it stops. Not thread-safe; confined to the event loop.
 */
final class Readiness implements RequestHandler {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final VmSettings settings;
    private final GatewayState state;
    private boolean serversListed;
    private boolean rolloutsListed;
    private boolean quarantineListed;
    private boolean evacuationsListed;
    private boolean ready;
    private Duration startProcessorTime = Duration.ZERO;
    private boolean stopping;

    Readiness(final VmSettings settings, final GatewayState state) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.state = Objects.requireNonNull(state, "state is null");
        this.evacuationsListed = !settings.evacuations();
    }

    void onServersListed() {
        serversListed = true;
        update();
    }

    void onRolloutsListed() {
        rolloutsListed = true;
        update();
    }

    void onQuarantineListed() {
        quarantineListed = true;
        update();
    }

    void onEvacuationsListed() {
        evacuationsListed = true;
        update();
    }

    boolean knowsQuarantine() {
        return quarantineListed;
    }

    void onStopping() {
        stopping = true;
        ready = false;
    }

    boolean isReady() {
        return ready;
    }

    /** Becomes ready if all lists have been read. */
    void update() {
        final boolean knowsAll =
                serversListed
                        && rolloutsListed
                        && quarantineListed
                        && evacuationsListed
                        && state.configuration().isPresent();
        if (knowsAll && !ready && !stopping) {
            ready = true;
            final ProcessHandle.Info process = ProcessHandle.current().info();
            startProcessorTime = process.totalCpuDuration().orElse(Duration.ZERO);
            EventLog.write(
                    Event.READY,
                    "vm",
                    settings.vm(),
                    "configuration",
                    state.configuration().get().version(),
                    "servers",
                    state.servers().size(),
                    "cpu_ms",
                    startProcessorTime.toMillis(),
                    "since_start_ms",
                    process.startInstant().map(Readiness::millisSince).orElse(0L));
        }
    }

    private static long millisSince(final Instant start) {
        return Duration.between(start, Instant.now()).toMillis();
    }

    /**
     * Returns the processor time of the process until the VM was ready.
     *
     * @return seconds, 0 if the VM was never ready
     */
    double startProcessorSeconds() {
        return startProcessorTime.toMillis() / MILLIS_PER_SECOND;
    }

    @Override
    public void handle(final ServerExchange exchange) {
        if (!exchange.path().equals(settings.readinessPath())) {
            exchange.respond(NOT_FOUND, "text/plain", "");
            return;
        }
        exchange.respond(ready ? OK : UNAVAILABLE, "text/plain", "");
    }
}
