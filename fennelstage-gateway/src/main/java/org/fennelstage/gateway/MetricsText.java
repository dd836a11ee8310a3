package org.fennelstage.gateway;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Writes metrics in the Prometheus text format. Stateless and thread-safe. */
public final class MetricsText {

    private MetricsText() {}

    /**
     * Writes all metrics of a registry.
     *
     * @param registry the registry
     * @return the text, encoded in UTF-8
     */
    public static byte[] of(final PrometheusRegistry registry) {
        final ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            new PrometheusTextFormatWriter(true).write(out, registry.scrape());
        } catch (final IOException e) {
            throw new IllegalStateException("cannot write metrics to a byte array", e);
        }
        return out.toByteArray();
    }
}
