package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiConsumer;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.Pace;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.ServiceName;
import org.fennelstage.id.VmId;
import org.fennelstage.time.MonotonicClock;

/**
 * Sends this VM's load at the backend servers, and the outcomes of its requests there, to other VMs
 * several times a second.
 *
 * <p>In a small fleet all VMs send to each other; in a large one a collector per data centre sums
 * the loads ({@link LoadCollection}). The period grows with the number of receivers, so that the
 * messages a VM receives do not grow with the fleet. A VM whose load has ended reports that once. A
 * VM that does not reach most backend servers reports no outcomes, since its own links are likely
 * at fault.
 *
 * <p>Invariants: a report fits into one datagram; if not all do, it leaves out paces first, then
 * the outcomes of idle backend servers, then those servers with the fewest unread prompts. Not
 * thread-safe; confined to the event loop.
 */
final class LoadReports {

    /** Maximum reports that a VM receives per second, unless the period is at its longest. */
    private static final int MAX_RECEIVED_PER_SECOND = 40;

    /** Shortest time between two reports; milliseconds. */
    private static final long MIN_PERIOD_MILLIS = 100;

    /**
     * Longest time between two reports, so that a report does not expire before the next one;
     * milliseconds.
     */
    static final long MAX_PERIOD_MILLIS = 500;

    /**
     * Backend servers in a report with outcomes, chosen in turn over the services, so that a busy
     * service does not hide another.
     */
    private static final int MAX_SERVERS_WITH_OUTCOMES = 12;

    /**
     * Least weight of the samples of a backend server that is reported; hundredths. A fifth of a
     * sample, which is five seconds old, says too little for its bytes.
     */
    private static final long MIN_PACE_UNITS = 20;

    /** A backend server and the weight of all its responses, however many of them failed. */
    private record Responses(TrackedServer server, Load report, double weight) {

        private static final Comparator<Responses> MOST_FIRST =
                Comparator.comparingDouble(Responses::weight)
                        .reversed()
                        .thenComparing(r -> r.server().entry().id());
    }

    private final VmId own;
    private final ServerTable servers;
    private final Peers peers;
    private final LoadCollection collection;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final MonotonicClock clock;
    private boolean reportedAny;
    private long lastSentMillis;

    LoadReports(
            final VmId own,
            final ServerTable servers,
            final Peers peers,
            final LoadCollection collection,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final MonotonicClock clock) {
        this.own = Objects.requireNonNull(own, "own is null");
        this.servers = Objects.requireNonNull(servers, "servers is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.collection = Objects.requireNonNull(collection, "collection is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.lastSentMillis = clock.millis();
    }

    /** Sends a report if one is due. Called several times a second. */
    void sendDue() {
        final List<InetSocketAddress> to = peers.loadPeers();
        if (to.isEmpty() || clock.millis() - lastSentMillis < periodMillis(to.size())) {
            return;
        }
        lastSentMillis = clock.millis();
        final Map<BackendServerId, Load> loads = loads();
        if (collection.isInUse()) {
            collection.exchange(loads);
        } else if (reportedAny || !loads.isEmpty()) {
            reportedAny = !loads.isEmpty();
            send.accept(new PeerMessage.Loads(own, loads), to);
        }
    }

    static long periodMillis(final int others) {
        final long period = 1_000L * others / MAX_RECEIVED_PER_SECOND;
        return Math.max(MIN_PERIOD_MILLIS, Math.min(MAX_PERIOD_MILLIS, period));
    }

    private Map<BackendServerId, Load> loads() {
        final List<TrackedServer> busy = new ArrayList<>();
        for (final TrackedServer server : servers.all()) {
            if (server.running() > 0) {
                busy.add(server);
            }
        }
        busy.sort(
                Comparator.comparingLong((TrackedServer s) -> s.load().unreadMillis()).reversed());
        final Map<TrackedServer, Load> withOutcomes =
                servers.reachesMost() ? withOutcomes() : Map.of();
        final Set<TrackedServer> reported = new LinkedHashSet<>(busy);
        reported.addAll(withOutcomes.keySet());
        final LoadsInDatagram loads = new LoadsInDatagram(new PeerMessage.Loads(own, Map.of()));
        for (final TrackedServer server : reported) {
            final Load report = withOutcomes.get(server);
            final Load load = report == null ? server.load() : report;
            // Shorter ones that follow would come before a server with more unread prompts.
            if (!loads.add(server.entry().id(), load)) {
                return loads.loads();
            }
        }
        addPaces(loads);
        return loads.loads();
    }

    /** Adds the paces that fit beside all loads and outcomes, those with most samples first. */
    private void addPaces(final LoadsInDatagram loads) {
        final Map<TrackedServer, Pace> paces = new HashMap<>();
        for (final TrackedServer server : servers.all()) {
            final Pace pace = server.pace();
            if (pace.sampleUnits() >= MIN_PACE_UNITS) {
                paces.put(server, pace.rounded());
            }
        }
        final List<Map.Entry<TrackedServer, Pace>> mostFirst = new ArrayList<>(paces.entrySet());
        mostFirst.sort(
                Map.Entry.<TrackedServer, Pace>comparingByValue(
                                Comparator.comparingDouble(Pace::samples).reversed())
                        .thenComparing(entry -> entry.getKey().entry().id()));
        final Map<BackendServerId, Load> withoutPaces = loads.loads();
        for (final Map.Entry<TrackedServer, Pace> entry : mostFirst) {
            final BackendServerId id = entry.getKey().entry().id();
            final Load load = withoutPaces.getOrDefault(id, Load.NONE);
            if (!loads.add(id, load.withPace(entry.getValue()))) {
                return;
            }
        }
    }

    private Map<TrackedServer, Load> withOutcomes() {
        final List<Responses> responses = new ArrayList<>();
        for (final TrackedServer server : servers.all()) {
            // Most servers have had no response lately, and computing a report is costly.
            if (server.hasRecentResponses()) {
                final Load report = server.report();
                if (report.outcomes().responses() > 0) {
                    responses.add(new Responses(server, report, server.outcomes().responses()));
                }
            }
        }
        if (responses.isEmpty()) {
            return Map.of();
        }
        responses.sort(Responses.MOST_FIRST);
        final Map<ServiceName, List<Responses>> services = new HashMap<>();
        for (final Responses r : responses) {
            services.computeIfAbsent(r.server().entry().service(), s -> new ArrayList<>()).add(r);
        }
        final Map<TrackedServer, Load> chosen = new LinkedHashMap<>();
        for (int turn = 0; chosen.size() < MAX_SERVERS_WITH_OUTCOMES; turn++) {
            final int index = turn;
            final List<Responses> next =
                    services.values().stream()
                            .filter(service -> index < service.size())
                            .map(service -> service.get(index))
                            .sorted(Responses.MOST_FIRST)
                            .limit(MAX_SERVERS_WITH_OUTCOMES - chosen.size())
                            .toList();
            if (next.isEmpty()) {
                break;
            }
            next.forEach(r -> chosen.put(r.server(), r.report()));
        }
        return chosen;
    }
}
