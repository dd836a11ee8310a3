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
 * Tells other VMs several times a second what this one has at the workers.
 *
 * <p>A few VMs tell each other; in a large fleet one VM of each data centre collects what the
 * others have there ({@link LoadCollection}). How often follows from how many VMs tell each other,
 * so that what a VM hears does not grow with the fleet. A VM that has nothing says so once.
 * Confined to the event loop.
 */
final class LoadReports {

    /**
     * Reports that a VM hears in a second: they take it a part or two in a thousand of its
     * processor.
     */
    private static final int HEARD_PER_SECOND = 40;

    /** The shortest time between two reports; milliseconds. A prompt takes longer to be read. */
    private static final long SHORTEST_MILLIS = 100;

    /** The longest, so that a report is not forgotten before the next comes; milliseconds. */
    private static final long LONGEST_MILLIS = 500;

    /** Workers told of, those with most to read first: 40 fit into one datagram. */
    private static final int MOST_SERVERS = 40;

    private final VmId own;
    private final ServerTable servers;
    private final Peers peers;
    private final LoadCollection collection;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> tell;
    private final MonotonicClock clock;
    private boolean toldAny;
    private long lastMillis;

    LoadReports(
            final VmId own,
            final ServerTable servers,
            final Peers peers,
            final LoadCollection collection,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> tell,
            final MonotonicClock clock) {
        this.own = Objects.requireNonNull(own, "own is null");
        this.servers = Objects.requireNonNull(servers, "servers is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.collection = Objects.requireNonNull(collection, "collection is null");
        this.tell = Objects.requireNonNull(tell, "tell is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.lastMillis = clock.millis();
    }

    /** Sends a report if one is due. To be called several times a second. */
    void sendDue() {
        final List<InetSocketAddress> to = peers.sharers();
        if (to.isEmpty() || clock.millis() - lastMillis < periodMillis(to.size())) {
            return;
        }
        lastMillis = clock.millis();
        final Map<BackendServerId, Load> loads = loads();
        if (collection.isInUse()) {
            collection.exchange(loads);
        } else if (toldAny || !loads.isEmpty()) {
            toldAny = !loads.isEmpty();
            tell.accept(new PeerMessage.Loads(own, loads), to);
        }
    }

    static long periodMillis(final int others) {
        final long period = 1_000L * others / HEARD_PER_SECOND;
        return Math.max(SHORTEST_MILLIS, Math.min(LONGEST_MILLIS, period));
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
        for (final TrackedServer server : busy.subList(0, Math.min(MOST_SERVERS, busy.size()))) {
            loads.put(server.entry().id(), server.load());
        }
        return loads;
    }
}
