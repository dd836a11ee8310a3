package org.fennelstage.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.fennelstage.admission.TrafficClass;
import org.fennelstage.id.TeamId;

/** Prometheus metrics of the gateway. Thread-safe. */
public final class GatewayMetrics {

    private static final double[] LATENCY_BUCKETS_SECONDS = {
        0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2, 4, 8, 16
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            Counter.builder()
                    .name("fennelstage_gateway_requests_total")
                    .help("Requests by route and outcome")
                    .labelNames("route", "outcome")
                    .register(registry);
    private final Counter attempts =
            Counter.builder()
                    .name("fennelstage_gateway_attempts_total")
                    .help("Attempts at workers by service and end")
                    .labelNames("service", "end")
                    .register(registry);
    private final Counter permits =
            Counter.builder()
                    .name("fennelstage_gateway_permits_total")
                    .help("Requests for permits at saturated servers by service and result")
                    .labelNames("service", "result")
                    .register(registry);
    private final Counter admissions =
            Counter.builder()
                    .name("fennelstage_gateway_admissions_total")
                    .help(
                            "Decisions of this VM on permits at saturated servers, by priority, team"
                                    + " and result")
                    .labelNames("priority", "team", "result")
                    .register(registry);
    private final Counter speedSamples =
            Counter.builder()
                    .name("fennelstage_gateway_speed_samples_total")
                    .help("Samples of how long workers take, by service")
                    .labelNames("service")
                    .register(registry);
    private final Counter sentToWarmingUp =
            Counter.builder()
                    .name("fennelstage_gateway_cold_server_requests_total")
                    .help("Requests sent to workers that warm up, by service")
                    .labelNames("service")
                    .register(registry);
    private final Histogram firstByte =
            Histogram.builder()
                    .name("fennelstage_gateway_first_byte_seconds")
                    .help("Time from the request to the first byte for the caller, by route")
                    .labelNames("route")
                    .classicOnly()
                    .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
                    .register(registry);
    private final Histogram duration =
            Histogram.builder()
                    .name("fennelstage_gateway_answer_seconds")
                    .help("Time from the request to the end of its answer, by route")
                    .labelNames("route")
                    .classicOnly()
                    .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
                    .register(registry);
    private final Gauge inFlight =
            Gauge.builder()
                    .name("fennelstage_gateway_requests_in_flight")
                    .help("Requests that have no whole answer yet")
                    .register(registry);

    /**
     * Registers a gauge whose value is read at each scrape.
     *
     * @param name the metric name
     * @param help the help text
     * @param value supplies the current value
     */
    public void gauge(final String name, final String help, final DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    void begin() {
        inFlight.inc();
    }

    void end(final String route, final String outcome, final long millis) {
        inFlight.dec();
        requests.labelValues(route, outcome).inc();
        duration.labelValues(route).observe(millis / 1_000.0);
    }

    void firstByte(final String route, final long millis) {
        firstByte.labelValues(route).observe(millis / 1_000.0);
    }

    void sentToWarmingUp(final String service) {
        sentToWarmingUp.labelValues(service).inc();
    }

    void speedSample(final String service) {
        speedSamples.labelValues(service).inc();
    }

    void permit(final String service, final Permit result) {
        permits.labelValues(service, result.name()).inc();
    }

    /**
     * Counts a decision on a permit.
     *
     * @param traffic the priority and team of the request
     * @param result the result of the decision
     */
    public void admission(final TrafficClass traffic, final String result) {
        admissions
                .labelValues(
                        Integer.toString(traffic.priority()),
                        traffic.team().map(TeamId::value).orElse("-"),
                        result)
                .inc();
    }

    void attempt(final String service, final String end) {
        attempts.labelValues(service, end).inc();
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text
     */
    public byte[] scrape() {
        return MetricsText.of(registry);
    }
}
