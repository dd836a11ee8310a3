package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.fennelstage.fleet.Load;
import org.fennelstage.fleet.LoadBoard;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;
import org.fennelstage.speed.PaceRotation;
import org.fennelstage.time.MonotonicClock;

/**
 * Exchanges the loads of a data centre through one VM, the collector, which sums the loads of all.
 *
 * <p>If each VM of a large data centre sent its load to all others, the datagrams would cost more
 * than the requests. This way each VM sends and receives one message a period; only the collector
 * handles one per VM.
 *
 * <p>Each VM determines the collector without messages: it is the first when the VMs of the data
 * centre are ranked by a hash of their names. A VM that sends its load and receives no sums uses
 * the next VM by rank for a while. A VM that receives loads replies with sums, so VMs that
 * temporarily disagree on the collector only have incomplete sums.
 *
 * <p>Invariant: a VM sends to at most one other VM in each period, unless others sent it their
 * loads. Not thread-safe; confined to the event loop.
 */
final class LoadCollection {

    /** Number of VMs in a data centre from which on a collector is used. */
    private static final int MIN_VMS = 8;

    /** Time without sums after which a collector is skipped; milliseconds. */
    static final long COLLECTOR_TIMEOUT_MILLIS = 1_200;

    /**
     * Mean age of the loads in the collector's sums, half the longest period in which VMs report to
     * it; milliseconds.
     */
    private static final long SUMMED_AGE_MILLIS = LoadReports.MAX_PERIOD_MILLIS / 2;

    /** Largest number of a part that receivers accept. */
    private static final int MAX_PART = 9_999;

    private final VmId own;
    private final Peers peers;
    private final LoadBoard board;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final MonotonicClock clock;
    private final UnresponsiveVms unresponsive;
    private final PaceRotation paces = new PaceRotation();
    private final Map<VmId, Long> lastReportMillis = new HashMap<>();
    private Map<BackendServerId, Load> lastSent = Map.of();
    private Optional<VmId> collector = Optional.empty();
    private int sentParts;
    private boolean awaitingSums;
    private long awaitingSinceMillis;

    LoadCollection(
            final VmId own,
            final Peers peers,
            final LoadBoard board,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final MonotonicClock clock) {
        this.own = Objects.requireNonNull(own, "own is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.board = Objects.requireNonNull(board, "board is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.unresponsive = new UnresponsiveVms(clock);
    }

    /** Returns whether the data centre is large enough for a collector. */
    boolean isInUse() {
        return !peers.exchangesLoadsWithAll() && peers.dataCentreVms().size() >= MIN_VMS;
    }

    /**
     * Sends this VM's loads to the collector, and the sums to those that sent this VM their loads.
     * Called once a period.
     *
     * @param loads this VM's load at each backend server that has any, or outcomes
     */
    void exchange(final Map<BackendServerId, Load> loads) {
        sendLoads(loads);
        sendSums(loads);
    }

    /** Stores the loads of a VM. */
    void onLoads(final PeerMessage.Loads loads) {
        final Map<BackendServerId, Load> limited = new HashMap<>();
        loads.loads().forEach((server, load) -> limited.put(server, load.reportedByOneVm()));
        board.onReport(loads.vm(), limited);
        lastReportMillis.put(loads.vm(), clock.millis());
    }

    /** Stores the sums of the current collector; those of other VMs are ignored. */
    void onSums(final PeerMessage.LoadSums sums) {
        if (!collector.equals(Optional.of(sums.collector()))) {
            return;
        }
        awaitingSums = false;
        unresponsive.onResponse(sums.collector());
        final Map<BackendServerId, Load> others = new HashMap<>();
        sums.loads().forEach((server, load) -> others.put(server, withoutOwn(server, load)));
        board.onReport(sums.collector(), sums.part(), others, SUMMED_AGE_MILLIS);
    }

    private Load withoutOwn(final BackendServerId server, final Load sum) {
        return sum.minus(lastSent.getOrDefault(server, Load.NONE)).withoutNegatives();
    }

    private void sendLoads(final Map<BackendServerId, Load> loads) {
        skipUnresponsiveCollector();
        collector = selectCollector();
        if (collector.isEmpty() || (loads.isEmpty() && lastSent.isEmpty())) {
            return;
        }
        final Optional<InetSocketAddress> to = peers.address(collector.get());
        if (to.isEmpty()) {
            return;
        }
        if (!awaitingSums) {
            awaitingSums = true;
            awaitingSinceMillis = clock.millis();
        }
        lastSent = loads;
        send.accept(new PeerMessage.Loads(own, loads), List.of(to.get()));
    }

    private void skipUnresponsiveCollector() {
        final long now = clock.millis();
        if (awaitingSums && now - awaitingSinceMillis >= COLLECTOR_TIMEOUT_MILLIS) {
            collector.ifPresent(unresponsive::onTimeout);
            awaitingSums = false;
        }
    }

    /** Returns the first VM by rank that is not skipped, empty if that is this VM. */
    private Optional<VmId> selectCollector() {
        return peers.dataCentreVms().stream()
                .filter(vm -> !unresponsive.isSkipped(vm))
                .findFirst()
                .filter(vm -> !vm.equals(own));
    }

    private void sendSums(final Map<BackendServerId, Load> loads) {
        final long now = clock.millis();
        lastReportMillis.values().removeIf(last -> now - last > COLLECTOR_TIMEOUT_MILLIS);
        if (lastReportMillis.isEmpty()) {
            return;
        }
        final List<InetSocketAddress> to =
                lastReportMillis.keySet().stream()
                        .map(peers::address)
                        .flatMap(Optional::stream)
                        .toList();
        final Map<BackendServerId, Load> all = new HashMap<>(board.sums());
        loads.forEach((server, load) -> all.merge(server, load, Load::plus));
        final Map<BackendServerId, Load> sums = paces.next(all);
        final List<BackendServerId> servers = new ArrayList<>(sums.keySet());
        servers.sort(null);
        final List<Map<BackendServerId, Load>> parts = new ArrayList<>();
        LoadsInDatagram part = emptyPart();
        for (final BackendServerId server : servers) {
            if (!part.add(server, sums.get(server))) {
                parts.add(part.loads());
                part = emptyPart();
                part.add(server, sums.get(server));
            }
        }
        parts.add(part.loads());
        // Receivers would add an earlier part to the sums until it expires.
        final int toReplace = sentParts;
        sentParts = parts.size();
        while (parts.size() < toReplace) {
            parts.add(Map.of());
        }
        for (int i = 0; i < parts.size(); i++) {
            send.accept(new PeerMessage.LoadSums(own, i, parts.get(i)), to);
        }
    }

    private LoadsInDatagram emptyPart() {
        return new LoadsInDatagram(new PeerMessage.LoadSums(own, MAX_PART, Map.of()));
    }
}
