package org.fennelstage.route;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import org.fennelstage.gateway.MetricsText;
import org.fennelstage.id.ProfileId;
import org.fennelstage.id.TeamId;
import org.fennelstage.id.VersionId;
import org.fennelstage.outcome.Outcome;

/** The Prometheus metrics of one VM. Thread-safe. */
public final class RouterMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests =
            Counter.builder()
                    .name("fennelstage_requests_total")
                    .help("Requests by profile, team and outcome")
                    .labelNames("profile", "team", "outcome")
                    .register(registry);
    private final Counter rejections =
            Counter.builder()
                    .name("fennelstage_refusals_total")
                    .help("Refused requests by reason")
                    .labelNames("reason")
                    .register(registry);
    private final Counter versions =
            Counter.builder()
                    .name("fennelstage_version_requests_total")
                    .help("Requests sent to a version")
                    .labelNames("version")
                    .register(registry);
    private final Counter retries =
            Counter.builder()
                    .name("fennelstage_retries_total")
                    .help("Attempts after the first")
                    .register(registry);
    private final Histogram firstToken =
            Histogram.builder()
                    .name("fennelstage_first_token_seconds")
                    .help("Time to the first token by profile")
                    .labelNames("profile")
                    .classicUpperBounds(0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2, 4, 8, 16)
                    .register(registry);
    private final Histogram responseTime =
            Histogram.builder()
                    .name("fennelstage_answer_seconds")
                    .help("Time to the whole answer by profile")
                    .labelNames("profile")
                    .classicUpperBounds(0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 40, 80)
                    .register(registry);
    private final Gauge inFlight =
            Gauge.builder()
                    .name("fennelstage_requests_in_flight")
                    .help("Requests admitted and not ended")
                    .register(registry);

    /**
     * Registers a gauge whose value is read at each scrape.
     *
     * @param name the metric name
     * @param help the help text
     * @param value returns the value
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

    void end(
            final ProfileId profile,
            final TeamId team,
            final Outcome outcome,
            final double seconds) {
        inFlight.dec();
        requests.labelValues(profile.value(), team.value(), outcome.kind()).inc();
        if (outcome instanceof Outcome.NotRun notRun) {
            rejections.labelValues(notRun.reason().code()).inc();
        } else if (outcome instanceof Outcome.Complete) {
            responseTime.labelValues(profile.value()).observe(seconds);
        }
    }

    void firstToken(final ProfileId profile, final double seconds) {
        firstToken.labelValues(profile.value()).observe(seconds);
    }

    void sent(final VersionId version) {
        versions.labelValues(version.toString()).inc();
    }

    void retried() {
        retries.inc();
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the encoded text
     */
    public byte[] scrape() {
        return MetricsText.of(registry);
    }
}
