package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.ServerTable;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.BackendServerId;
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
 * <p>Not thread-safe; confined to the event loop.
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
     * Backend servers in a report, those with the most unread prompts first; they fit into one
     * datagram.
     */
    private static final int MAX_SERVERS = 40;

    /**
     * Backend servers in a report with outcomes, those with the most responses first, so that what
     * is left out does not depend on how many failed. They fit into the same datagram.
     */
    private static final int MAX_SERVERS_WITH_OUTCOMES = 12;

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
        final Map<BackendServerId, Load> loads = new HashMap<>();
        for (final TrackedServer server : busy.subList(0, Math.min(MAX_SERVERS, busy.size()))) {
            loads.put(server.entry().id(), server.load());
        }
        if (servers.reachesMost()) {
            withOutcomes().forEach(server -> loads.put(server.entry().id(), server.report()));
        }
        return loads;
    }

    private List<TrackedServer> withOutcomes() {
        return servers.all().stream()
                .filter(server -> server.report().outcomes().responses() > 0)
                .sorted(
                        Comparator.comparingDouble(
                                        (TrackedServer s) -> s.report().outcomes().responses())
                                .reversed())
                .limit(MAX_SERVERS_WITH_OUTCOMES)
                .toList();
    }
}
