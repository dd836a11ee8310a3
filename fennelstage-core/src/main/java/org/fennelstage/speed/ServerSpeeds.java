package org.fennelstage.speed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.time.MonotonicClock;

/**
 * Estimates how slow each backend server is against the median of its service, by the samples of
 * all VMs, and sets {@link TrackedServer#slowness}.
 *
 * <p>In a large fleet a VM sends to each backend server so rarely that its own samples do not
 * suffice. The VMs therefore add up what they report of each server.
 *
 * <p>Invariants: where all backend servers of a service are equally fast, and where there is only
 * one, each has a slowness of 1; the samples of one VM have a limited weight. Not thread-safe.
 */
public final class ServerSpeeds {

    /**
     * Time between two comparisons; milliseconds. As long as between two load reports of a large
     * fleet, since nothing is known sooner.
     */
    static final long UPDATE_MILLIS = 500;

    /** Weight from which on a backend server counts for the median; a third of one sample. */
    private static final double MIN_SAMPLES = 0.3;

    /**
     * Ratio to the slowness that was last returned as a change from which on there is a new one, so
     * that a slowness that varies a little gives no changes.
     */
    private static final double CHANGE_LOG = Math.log(1.3);

    /** Changes that are returned at a time at most; the others follow with the next ones. */
    static final int MAX_CHANGES = 10;

    /** The largest logarithm of a sample, so that a single one shows little. */
    private static final double MAX_SAMPLE_LOG = ServiceSpeed.MAX_LOG;

    /**
     * A backend server whose slowness changed.
     *
     * @param server the backend server
     * @param before its slowness at the last change
     * @param pace the samples of all VMs
     * @param usual the median of its service, as a ratio to the usual time of the VMs
     */
    public record Change(TrackedServer server, double before, Pace pace, double usual) {}

    /** Least time between two changes of one backend server that are returned; milliseconds. */
    static final long MIN_CHANGE_MILLIS = 5_000;

    /** Kinds of requests of which the usual time is kept at most. */
    private static final int MAX_KINDS = 1_000;

    private record Reported(Pace pace, long atMillis) {}

    /** Backend servers that are compared: versions may differ in speed by design. */
    private record Group(ServiceName service, String version) {

        private static Group of(final TrackedServer server) {
            return new Group(server.entry().service(), server.entry().version());
        }
    }

    /** What is kept of a backend server between comparisons. */
    private static final class History {

        private final Persistence persistence = new Persistence();
        private double lastChange = 1;
        private long lastChangeMillis = Long.MIN_VALUE / 2;
    }

    private final LoadBoard board;
    private final MonotonicClock clock;
    private final Map<SampleKind, UsualTime> usualTimes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(final Map.Entry<SampleKind, UsualTime> eldest) {
                    return size() > MAX_KINDS;
                }
            };
    private final Map<Group, ServiceSpeed> groups = new HashMap<>();
    private final Map<BackendServerId, Reported> reported = new HashMap<>();
    private final Map<TrackedServer, History> histories = new HashMap<>();
    private Collection<TrackedServer> known = List.of();
    private long lastUpdateMillis;

    private ServerSpeeds(final LoadBoard board, final MonotonicClock clock) {
        this.board = board;
        this.clock = clock;
        this.lastUpdateMillis = clock.millis() - UPDATE_MILLIS;
    }

    /**
     * Returns speeds without samples.
     *
     * @param board what the other VMs report
     * @param clock the clock
     * @return the speeds
     */
    public static ServerSpeeds of(final LoadBoard board, final MonotonicClock clock) {
        return new ServerSpeeds(
                Objects.requireNonNull(board, "board is null"),
                Objects.requireNonNull(clock, "clock is null"));
    }

    /**
     * Adds a sample of this VM.
     *
     * @param server the backend server
     * @param kind the requests with which it is comparable
     * @param millis the time that was taken, above zero; milliseconds
     * @param weight the weight of the sample, above 0 and at most 1
     */
    public void onSample(
            final TrackedServer server,
            final SampleKind kind,
            final double millis,
            final double weight) {
        usualTimes
                .computeIfAbsent(kind, k -> new UsualTime())
                .onSample(server.entry().id(), minServers(kind), weight, millis)
                .ifPresent(
                        log -> {
                            final double limited =
                                    Math.max(-MAX_SAMPLE_LOG, Math.min(MAX_SAMPLE_LOG, log));
                            speed(Group.of(server))
                                    .onSample(limited, Math.log(server.slowness()), weight);
                            server.onPace(limited, weight);
                        });
    }

    /**
     * A service with fewer backend servers than {@link UsualTime#MIN_SERVERS} needs all of them.
     */
    private int minServers(final SampleKind kind) {
        int count = 0;
        for (final TrackedServer server : known) {
            final boolean comparable =
                    server.entry().service().equals(kind.service())
                            && kind.dataCentre()
                                    .map(server.entry().dataCentre()::equals)
                                    .orElse(true);
            count += comparable ? 1 : 0;
            if (count == UsualTime.MIN_SERVERS) {
                break;
            }
        }
        return count == 0 ? UsualTime.MIN_SERVERS : count;
    }

    private ServiceSpeed speed(final Group group) {
        return groups.computeIfAbsent(group, g -> new ServiceSpeed());
    }

    /**
     * Compares the backend servers if {@link #UPDATE_MILLIS} have passed since the last time. To be
     * called several times a second.
     *
     * @param servers all backend servers
     * @return what has changed, at most {@link #MAX_CHANGES}
     */
    public List<Change> update(final Collection<TrackedServer> servers) {
        final long now = clock.millis();
        if (now - lastUpdateMillis < UPDATE_MILLIS) {
            return List.of();
        }
        lastUpdateMillis = now;
        readReports(servers);
        known = List.copyOf(servers);
        histories.keySet().retainAll(new HashSet<>(servers));
        servers.stream()
                .filter(server -> server.entry().draining())
                .forEach(server -> server.onSlowness(1));
        final List<Change> changes = new ArrayList<>();
        final Map<Group, List<TrackedServer>> compared =
                servers.stream()
                        .filter(server -> !server.entry().draining())
                        .collect(Collectors.groupingBy(Group::of));
        groups.keySet().retainAll(compared.keySet());
        compared.forEach((group, all) -> compare(speed(group), all, changes));
        return changes;
    }

    /**
     * Keeps what the other VMs report of each backend server, since sums contain the pace of a part
     * of the servers only and reports may be lost.
     */
    private void readReports(final Collection<TrackedServer> servers) {
        final long now = clock.millis();
        board.sums()
                .forEach(
                        (server, load) -> {
                            final Reported last = reported.get(server);
                            // The board holds a report for a while, in which its pace decays.
                            final boolean changed =
                                    last == null || !last.pace().equals(load.pace());
                            if (changed && load.pace().samples() > 0) {
                                reported.put(server, new Reported(load.pace(), now));
                            }
                        });
        reported.keySet()
                .retainAll(
                        servers.stream()
                                .map(server -> server.entry().id())
                                .collect(Collectors.toSet()));
    }

    private void compare(
            final ServiceSpeed speed,
            final List<TrackedServer> servers,
            final List<Change> changes) {
        final Map<TrackedServer, Pace> paces = new HashMap<>();
        servers.forEach(server -> paces.put(server, pooled(server)));
        final double median = median(paces.values());
        speed.onMedian(median);
        for (final TrackedServer server : servers) {
            final Pace pace = paces.get(server);
            if (pace.samples() == 0 && server.slowness() == 1) {
                continue;
            }
            final double before = Math.log(server.slowness());
            final History history = histories.computeIfAbsent(server, s -> new History());
            server.onSlowness(Math.exp(speed.logSlowness(pace, history.persistence, before)));
            final double last = history.lastChange;
            final boolean changed = Math.abs(Math.log(server.slowness() / last)) >= CHANGE_LOG;
            final boolean due = clock.millis() - history.lastChangeMillis >= MIN_CHANGE_MILLIS;
            if (changed && due && changes.size() < MAX_CHANGES) {
                history.lastChange = server.slowness();
                history.lastChangeMillis = clock.millis();
                changes.add(new Change(server, last, pace, Math.exp(median)));
            }
        }
    }

    /** Samples that others report of another incarnation say nothing about this one. */
    private Pace pooled(final TrackedServer server) {
        final Pace own = server.pace();
        final Reported others = reported.get(server.entry().id());
        if (others == null || others.pace().startMillis() != own.startMillis()) {
            return own;
        }
        return own.plus(others.pace().decayed(clock.millis() - others.atMillis()));
    }

    private static double median(final Collection<Pace> paces) {
        final double[] means =
                paces.stream()
                        .filter(pace -> pace.samples() >= MIN_SAMPLES)
                        .mapToDouble(pace -> pace.logSum() / pace.samples())
                        .sorted()
                        .toArray();
        final int half = means.length / 2;
        if (means.length == 0) {
            return 0;
        }
        return means.length % 2 == 1 ? means[half] : (means[half - 1] + means[half]) / 2;
    }

    @Override
    public String toString() {
        return "ServerSpeeds[usual=" + usualTimes + ", groups=" + groups + "]";
    }
}
