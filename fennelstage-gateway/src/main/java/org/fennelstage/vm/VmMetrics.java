package org.fennelstage.vm;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;
import org.fennelstage.copy.CopyExchange;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.gateway.Gateway;
import org.fennelstage.gateway.GatewayMetrics;
import org.fennelstage.gateway.GatewayState;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.log.LogSetup;
import org.fennelstage.store.EraTracker;

/**
 * Serves a VM's metrics and registers the gauges of its state. Not thread-safe; confined to the
 * event loop.
 */
final class VmMetrics implements RequestHandler {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int OK = 200;

    private final GatewayMetrics metrics;

    VmMetrics(
            final GatewayMetrics metrics,
            final GatewayState state,
            final Gateway gateway,
            final EraTracker eras,
            final HttpClient serverClient,
            final DoubleSupplier startProcessorSeconds,
            final DoubleSupplier pausedSeconds,
            final CopyExchange copies) {
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        metrics.gauge(
                "fennelstage_gateway_worker_connections_opened",
                "Connections opened to workers",
                serverClient::connectionsOpened);
        metrics.gauge(
                "fennelstage_gateway_start_cpu_seconds",
                "Processor time of the process until the VM was ready; 0 before",
                startProcessorSeconds);
        metrics.gauge(
                "fennelstage_gateway_paused_seconds",
                "Time for which the event loop did not run although it was due",
                pausedSeconds);
        metrics.gauge(
                "fennelstage_log_lines_dropped",
                "Log lines dropped because the queue was full",
                LogSetup::dropped);
        metrics.gauge(
                "fennelstage_gateway_quarantined_requests",
                "Requests that are refused since they end the workers that run them",
                () -> gateway.crashes().quarantine().size());
        metrics.gauge(
                "fennelstage_gateway_evacuations",
                "Data centres whose workers get nothing new",
                () -> state.evacuations().size());
        metrics.gauge(
                "fennelstage_gateway_evacuations_age_seconds",
                "Time since the store was last heard of evacuations",
                () -> state.evacuations().ageMillis() / MILLIS_PER_SECOND);
        metrics.gauge(
                "fennelstage_gateway_workers_of_other_speed",
                "Workers that are clearly slower or faster than usual for their service",
                () -> state.servers().all().stream().filter(s -> s.slowness() != 1).count());
        metrics.gauge(
                "fennelstage_gateway_worker_slowness_max",
                "Time of the slowest worker over the usual one of its service",
                () ->
                        state.servers().all().stream()
                                .mapToDouble(TrackedServer::slowness)
                                .max()
                                .orElse(1));
        metrics.gauge(
                "fennelstage_gateway_store_returns",
                "How often the store was seen to come back from an older copy",
                eras::restoreCount);
        metrics.gauge(
                "fennelstage_gateway_state_copies_used",
                "Kinds of state that this VM took from another VM at its start",
                copies::used);
        metrics.gauge(
                "fennelstage_gateway_state_copies_given",
                "Copies of a kind of state given to VMs that start",
                copies::given);
        metrics.gauge(
                "fennelstage_gateway_state_copies_refused",
                "Copies of a kind of state refused to VMs that start",
                copies::refused);
        metrics.gauge(
                "fennelstage_gateway_state_copies_bytes",
                "Memory of the state kept for VMs that start",
                copies::heldBytes);
    }

    @Override
    public void handle(final ServerExchange exchange) {
        exchange.respond(
                OK,
                Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), "text/plain; version=0.0.4"),
                metrics.scrape());
    }
}
