package org.fennelstage.route;

import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;

/** Serves the health, readiness, metrics and status endpoints of one VM. Thread-safe. */
public final class AdminApi implements RequestHandler {

    private final BooleanSupplier ready;
    private final RouterMetrics metrics;
    private final Supplier<byte[]> status;

    /**
     * Creates the handler.
     *
     * @param ready whether the VM accepts requests from callers
     * @param metrics the VM's metrics
     * @param status returns the VM's state as JSON
     */
    public AdminApi(
            final BooleanSupplier ready,
            final RouterMetrics metrics,
            final Supplier<byte[]> status) {
        this.ready = Objects.requireNonNull(ready, "ready is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.status = Objects.requireNonNull(status, "status is null");
    }

    @Override
    public void handle(final ServerExchange exchange) {
        switch (exchange.path()) {
            case "/healthz" -> exchange.respond(200, "text/plain", "ok\n");
            case "/readyz" ->
                    exchange.respond(
                            ready.getAsBoolean() ? 200 : 503,
                            "text/plain",
                            ready.getAsBoolean() ? "ready\n" : "not ready\n");
            case "/metrics" ->
                    exchange.respond(
                            200,
                            Map.of("content-type", "text/plain; version=0.0.4; charset=utf-8"),
                            metrics.scrape());
            case "/status" ->
                    exchange.respond(200, Map.of("content-type", "application/json"), status.get());
            default ->
                    exchange.respond(
                            404,
                            "text/plain",
                            "unknown path; use /healthz, /readyz, /metrics or /status\n");
        }
    }
}
