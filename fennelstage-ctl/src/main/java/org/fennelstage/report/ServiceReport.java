package org.fennelstage.report;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Counts requests that were served, late or lost, by route, VM, second and cause.
 *
 * <p>Invariant: each table counts every request once. Immutable and thread-safe.
 */
public final class ServiceReport {

    /**
     * One row of a table.
     *
     * @param requests the number of requests
     * @param served the number of requests with a successful response, in time or late
     * @param inTime the number of requests served in time
     * @param causes the number of requests not served in time, by cause
     */
    public record Row(int requests, int served, int inTime, Map<Cause, Integer> causes) {

        /**
         * Returns the burn rate of the error budget.
         *
         * @param sloTarget the fraction of requests required to be served in time; below 1
         * @return the fraction of the budget that is used; above 1 if the target is missed
         */
        public double burnRate(final double sloTarget) {
            final double missed = requests == 0 ? 0 : 1 - (double) inTime / requests;
            return missed / (1 - sloTarget);
        }
    }

    private final List<RequestTimeline> timelines;

    private ServiceReport(final List<RequestTimeline> timelines) {
        this.timelines = timelines;
    }

    /**
     * Returns a report on the requests in a log.
     *
     * @param lines the events of requests, of any number of VMs, in any order
     * @return the report
     */
    public static ServiceReport of(final List<LogLine> lines) {
        final Map<String, List<LogLine>> byRequest = new HashMap<>();
        for (final LogLine line : lines) {
            final Optional<String> request = line.field("request").filter(id -> !id.isEmpty());
            if (request.isPresent()) {
                byRequest.computeIfAbsent(request.get(), r -> new ArrayList<>()).add(line);
            }
        }
        final List<RequestTimeline> timelines = new ArrayList<>();
        for (final List<LogLine> ofRequest : byRequest.values()) {
            ofRequest.sort(Comparator.comparing(LogLine::at));
            timelines.add(RequestTimeline.of(ofRequest));
        }
        timelines.sort(Comparator.comparing(RequestTimeline::startedAt));
        return new ServiceReport(List.copyOf(timelines));
    }

    /**
     * Finds a request.
     *
     * @param id the id of the request
     * @return the timeline of the request; empty if there is no event of it
     */
    public Optional<RequestTimeline> find(final String id) {
        return timelines.stream().filter(t -> t.id().equals(id)).findFirst();
    }

    /**
     * Returns a row that counts all requests.
     *
     * @return the row
     */
    public Row all() {
        return row(timelines);
    }

    /**
     * Returns one row for each route.
     *
     * @return the rows by name of the route
     */
    public Map<String, Row> byRoute() {
        return rows(RequestTimeline::route);
    }

    /**
     * Returns one row for each VM.
     *
     * @return the rows by name of the VM
     */
    public Map<String, Row> byVm() {
        return rows(RequestTimeline::vm);
    }

    /**
     * Returns one row for each second in which requests started.
     *
     * @return the rows by seconds since the first request, ascending
     */
    public Map<Long, Row> bySecond() {
        if (timelines.isEmpty()) {
            return Map.of();
        }
        final Instant first = timelines.get(0).startedAt();
        return rows(t -> t.startedAt().getEpochSecond() - first.getEpochSecond());
    }

    /**
     * Returns the fraction of the requests not served in time whose cause is unknown.
     *
     * @return the fraction, in [0, 1]
     */
    public double unexplainedFraction() {
        final Row all = all();
        final int notInTime = all.requests() - all.inTime();
        final int unexplained = all.causes().getOrDefault(Cause.UNEXPLAINED, 0);
        return notInTime == 0 ? 0 : (double) unexplained / notInTime;
    }

    private <K extends Comparable<K>> Map<K, Row> rows(final Function<RequestTimeline, K> key) {
        final Map<K, List<RequestTimeline>> grouped = new TreeMap<>();
        timelines.forEach(
                t -> grouped.computeIfAbsent(key.apply(t), k -> new ArrayList<>()).add(t));
        final Map<K, Row> rows = new TreeMap<>();
        grouped.forEach((k, group) -> rows.put(k, row(group)));
        return rows;
    }

    private static Row row(final List<RequestTimeline> group) {
        final Map<Cause, Integer> causes = new EnumMap<>(Cause.class);
        int served = 0;
        for (final RequestTimeline timeline : group) {
            causes.merge(timeline.cause(), 1, Integer::sum);
            served += timeline.isServed() ? 1 : 0;
        }
        final Integer inTime = causes.remove(Cause.NONE);
        return new Row(group.size(), served, inTime == null ? 0 : inTime, causes);
    }
}
