package org.fennelstage.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;

/** Formats a report as one HTML page without external resources. Stateless and thread-safe. */
final class HtmlReport {

    private static final int WIDTH = 1_100;
    private static final int HEIGHT = 420;

    private HtmlReport() {}

    /**
     * Returns the page.
     *
     * @param report the report
     * @param sloTarget the fraction of requests required to be served in time; below 1
     * @return the HTML text
     * @throws IOException if the chart cannot be encoded
     */
    static String page(final ServiceReport report, final double sloTarget) throws IOException {
        return """
               <!DOCTYPE html><html lang="en"><head><meta charset="utf-8">
               <title>Requests: served, late, lost</title>
               <style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}</style>
               </head><body><h1>Requests: served, late, lost</h1>
               <h2>By second and cause</h2>%s
               <h2>Tables</h2><pre>%s</pre></body></html>
               """
                .formatted(
                        image(causesBySecond(report)), escape(TextReport.text(report, sloTarget)));
    }

    private static CategoryChart causesBySecond(final ServiceReport report) {
        final CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .xAxisTitle("second")
                        .yAxisTitle("requests not served in time")
                        .build();
        chart.getStyler().setStacked(true);
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        final Map<Long, ServiceReport.Row> rows = report.bySecond();
        if (rows.isEmpty()) {
            return chart;
        }
        final List<Long> seconds = new ArrayList<>(rows.keySet());
        for (final Cause cause : report.all().causes().keySet()) {
            final List<Integer> counts =
                    rows.values().stream().map(r -> r.causes().getOrDefault(cause, 0)).toList();
            chart.addSeries(cause.text(), seconds, counts);
        }
        return chart;
    }

    private static String image(final CategoryChart chart) throws IOException {
        if (chart.getSeriesMap().isEmpty()) {
            return "<p>All requests were served in time.</p>";
        }
        final byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        return "<img alt=\"requests not served in time by second and cause\" src=\"data:image/png;base64,"
                + Base64.getEncoder().encodeToString(png)
                + "\">";
    }

    private static String escape(final String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }
}
