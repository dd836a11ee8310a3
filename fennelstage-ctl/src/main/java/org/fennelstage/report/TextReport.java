package org.fennelstage.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.stream.Collectors;

/** Formats a report as text or JSON. Stateless and thread-safe. */
final class TextReport {

    private TextReport() {}

    static String text(final ServiceReport report, final double sloTarget) {
        final StringBuilder text = new StringBuilder();
        table(text, "route", report.byRoute(), sloTarget);
        table(text, "VM", report.byVm(), sloTarget);
        table(text, "second", report.bySecond(), sloTarget);
        final ServiceReport.Row all = report.all();
        text.append(row("all", all, sloTarget));
        text.append(
                String.format(
                        "not explained: %.1f of 100 requests that were not served in time%n",
                        100 * report.unexplainedFraction()));
        return text.toString();
    }

    static String json(final ServiceReport report, final double sloTarget) {
        final ObjectNode root = new ObjectMapper().createObjectNode();
        root.set("all", node(report.all(), sloTarget));
        rows(root.putObject("by_route"), report.byRoute(), sloTarget);
        rows(root.putObject("by_vm"), report.byVm(), sloTarget);
        rows(root.putObject("by_second"), report.bySecond(), sloTarget);
        root.put("unexplained", report.unexplainedFraction());
        return root.toPrettyString() + System.lineSeparator();
    }

    private static void rows(
            final ObjectNode target, final Map<?, ServiceReport.Row> rows, final double sloTarget) {
        rows.forEach((key, row) -> target.set(String.valueOf(key), node(row, sloTarget)));
    }

    private static ObjectNode node(final ServiceReport.Row row, final double sloTarget) {
        final ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("requests", row.requests());
        node.put("served", row.served());
        node.put("in_time", row.inTime());
        node.put("burn", row.burnRate(sloTarget));
        final ObjectNode causes = node.putObject("causes");
        row.causes().forEach((cause, count) -> causes.put(cause.name().toLowerCase(), count));
        return node;
    }

    private static void table(
            final StringBuilder text,
            final String key,
            final Map<?, ServiceReport.Row> rows,
            final double sloTarget) {
        text.append(
                String.format(
                        "%-20s %8s %8s %8s %6s  %s%n",
                        key, "requests", "served", "in time", "burn", "causes of the rest"));
        rows.forEach((k, row) -> text.append(row(String.valueOf(k), row, sloTarget)));
        text.append(System.lineSeparator());
    }

    private static String row(
            final String key, final ServiceReport.Row row, final double sloTarget) {
        final String causes =
                row.causes().entrySet().stream()
                        .sorted(Map.Entry.<Cause, Integer>comparingByValue().reversed())
                        .map(e -> e.getValue() + " " + e.getKey().text())
                        .collect(Collectors.joining("; "));
        return String.format(
                "%-20s %8d %8d %8d %6.1f  %s%n",
                key, row.requests(), row.served(), row.inTime(), row.burnRate(sloTarget), causes);
    }
}
