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
 * Where requests were lost or late: by route, VM, second and cause.
 *
 * <p>Law: in each table every request is counted once. Immutable once made.
 */
public final class ServiceReport {

    /**
     * One row of a table.
     *
     * @param requests how many there were
     * @param served how many were answered, in whatever time
     * @param inTime how many were answered in time
     * @param causes how many were not, by cause
     */
    public record Row(int requests, int served, int inTime, Map<Cause, Integer> causes) {

        /**
         * Returns the share of an error budget that is used up.
         *
         * @param promised the share of requests that is promised to be in time, below 1
         * @return 1 when all of it is used
         */
        public double burn(final double promised) {
            final double missed = requests == 0 ? 0 : 1 - (double) inTime / requests;
            return missed / (1 - promised);
        }
    }

    private final List<RequestStory> stories;

    private ServiceReport(final List<RequestStory> stories) {
        this.stories = stories;
    }

    /**
     * Returns the report on some log lines.
     *
     * @param lines the lines that speak of requests, of any number of VMs
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
        final List<RequestStory> stories = new ArrayList<>();
        for (final List<LogLine> ofOne : byRequest.values()) {
            ofOne.sort(Comparator.comparing(LogLine::at));
            stories.add(RequestStory.of(ofOne));
        }
        stories.sort(Comparator.comparing(RequestStory::begunAt));
        return new ServiceReport(List.copyOf(stories));
    }

    /**
     * Finds a request.
     *
     * @param id its id
     * @return its story, empty if no line speaks of it
     */
    public Optional<RequestStory> find(final String id) {
        return stories.stream().filter(s -> s.id().equals(id)).findFirst();
    }

    /**
     * Returns all requests in one row.
     *
     * @return the row
     */
    public Row all() {
        return row(stories);
    }

    /**
     * Returns a row a route.
     *
     * @return the rows by name
     */
    public Map<String, Row> byRoute() {
        return rows(RequestStory::route);
    }

    /**
     * Returns a row a VM.
     *
     * @return the rows by name
     */
    public Map<String, Row> byVm() {
        return rows(RequestStory::vm);
    }

    /**
     * Returns a row a second since the first request.
     *
     * @return the rows in the order of time
     */
    public Map<Long, Row> bySecond() {
        if (stories.isEmpty()) {
            return Map.of();
        }
        final Instant first = stories.get(0).begunAt();
        return rows(s -> s.begunAt().getEpochSecond() - first.getEpochSecond());
    }

    /**
     * Returns the share of requests not served in time whose cause the log does not tell.
     *
     * @return a number in [0, 1]
     */
    public double unexplained() {
        final Row all = all();
        final int missed = all.requests() - all.inTime();
        final int open = all.causes().getOrDefault(Cause.UNEXPLAINED, 0);
        return missed == 0 ? 0 : (double) open / missed;
    }

    private <K extends Comparable<K>> Map<K, Row> rows(final Function<RequestStory, K> key) {
        final Map<K, List<RequestStory>> grouped = new TreeMap<>();
        stories.forEach(s -> grouped.computeIfAbsent(key.apply(s), k -> new ArrayList<>()).add(s));
        final Map<K, Row> rows = new TreeMap<>();
        grouped.forEach((k, group) -> rows.put(k, row(group)));
        return rows;
    }

    private static Row row(final List<RequestStory> group) {
        final Map<Cause, Integer> causes = new EnumMap<>(Cause.class);
        int served = 0;
        for (final RequestStory story : group) {
            causes.merge(story.cause(), 1, Integer::sum);
            served += story.isServed() ? 1 : 0;
        }
        final Integer inTime = causes.remove(Cause.NONE);
        return new Row(group.size(), served, inTime == null ? 0 : inTime, causes);
    }
}
