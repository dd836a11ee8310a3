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
import org.fennelstage.time.MonotonicClock;

/**
 * One VM of a data centre collects what the others have at the workers, and tells them the sums.
 *
 * <p>Were each VM of a large data centre to tell all others, each would hear and send as many
 * datagrams as there are VMs, several times a second, and spend more on them than on its requests.
 * This way a VM sends and hears one a time; only the collector handles one for each VM.
 *
 * <p>The VMs agree on the collector without a word, by the order of their names. A VM that tells
 * its load and hears no sums turns to the next in the order for a while. Whoever is told a load
 * answers with sums, so VMs that disagree for a moment only know less.
 *
 * <p>Law: a VM tells one other VM at most in each period, unless others told it their loads.
 * Confined to the event loop.
 */
final class LoadCollection {

    /** VMs of a data centre from which on one collects for all; fewer tell each other. */
    private static final int LEAST_VMS = 8;

    /** How long a collector may keep silent before the next is told; milliseconds. */
    static final long SILENCE_MILLIS = 1_200;

    /** How long a collector that kept silent is passed over at first; milliseconds. */
    static final long PAUSE_MILLIS = 5_000;

    /** How often in a row the pause doubles for a VM that never answers; it may be gone. */
    private static final int MOST_DOUBLINGS = 4;

    /** Workers in one message: as many as a datagram holds. */
    static final int MOST_SERVERS = 40;

    private final VmId own;
    private final Peers peers;
    private final LoadBoard board;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> tell;
    private final MonotonicClock clock;
    private final Map<VmId, Long> pausedUntilMillis = new HashMap<>();
    private final Map<VmId, Integer> silences = new HashMap<>();
    private final Map<VmId, Long> heardMillis = new HashMap<>();
    private Map<BackendServerId, Load> told = Map.of();
    private Optional<VmId> collector = Optional.empty();
    private boolean awaiting;
    private long awaitingSinceMillis;

    LoadCollection(
            final VmId own,
            final Peers peers,
            final LoadBoard board,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> tell,
            final MonotonicClock clock) {
        this.own = Objects.requireNonNull(own, "own is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.board = Objects.requireNonNull(board, "board is null");
        this.tell = Objects.requireNonNull(tell, "tell is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /** Tells whether the data centre is large enough for a collector. */
    boolean isInUse() {
        return !peers.tellsAll() && peers.ranked().size() >= LEAST_VMS;
    }

    /**
     * Tells the collector the own loads, and those that told this VM theirs the sums. To be called
     * once a period.
     *
     * @param loads what this VM has at each worker that has any
     */
    void exchange(final Map<BackendServerId, Load> loads) {
        report(loads);
        tellSums(loads);
    }

    /** Takes the loads of a VM. */
    void onLoads(final PeerMessage.Loads loads) {
        board.onReport(loads.vm(), loads.loads());
        heardMillis.put(loads.vm(), clock.millis());
    }

    /** Takes the sums of a collector; those of one that this VM has turned from count no more. */
    void onSums(final PeerMessage.LoadSums sums) {
        if (!collector.equals(Optional.of(sums.collector()))) {
            return;
        }
        awaiting = false;
        silences.remove(sums.collector());
        final Map<BackendServerId, Load> others = new HashMap<>();
        sums.loads().forEach((server, load) -> others.put(server, withoutOwn(server, load)));
        board.onReport(sums.collector(), sums.part(), others);
    }

    private Load withoutOwn(final BackendServerId server, final Load sum) {
        final Load others = sum.minus(told.getOrDefault(server, Load.NONE));
        return new Load(Math.max(0, others.running()), Math.max(0, others.unreadMillis()));
    }

    private void report(final Map<BackendServerId, Load> loads) {
        passOverSilentCollector();
        collector = chosen();
        if (collector.isEmpty() || (loads.isEmpty() && told.isEmpty())) {
            return;
        }
        final Optional<InetSocketAddress> to = peers.address(collector.get());
        if (to.isEmpty()) {
            return;
        }
        if (!awaiting) {
            awaiting = true;
            awaitingSinceMillis = clock.millis();
        }
        told = loads;
        tell.accept(new PeerMessage.Loads(own, loads), List.of(to.get()));
    }

    private void passOverSilentCollector() {
        final long now = clock.millis();
        if (awaiting && now - awaitingSinceMillis >= SILENCE_MILLIS) {
            collector.ifPresent(this::passOver);
            awaiting = false;
        }
    }

    private void passOver(final VmId vm) {
        final int before = silences.merge(vm, 1, Integer::sum) - 1;
        final long pause = PAUSE_MILLIS << Math.min(before, MOST_DOUBLINGS);
        pausedUntilMillis.put(vm, clock.millis() + pause);
    }

    /** Returns the first VM in the order that is not passed over, empty if that is this one. */
    private Optional<VmId> chosen() {
        final long now = clock.millis();
        pausedUntilMillis.values().removeIf(until -> until <= now);
        return peers.ranked().stream()
                .filter(vm -> !pausedUntilMillis.containsKey(vm))
                .findFirst()
                .filter(vm -> !vm.equals(own));
    }

    private void tellSums(final Map<BackendServerId, Load> loads) {
        final long now = clock.millis();
        heardMillis.values().removeIf(heard -> now - heard > SILENCE_MILLIS);
        if (heardMillis.isEmpty()) {
            return;
        }
        final List<InetSocketAddress> to =
                heardMillis.keySet().stream()
                        .map(peers::address)
                        .flatMap(Optional::stream)
                        .toList();
        final Map<BackendServerId, Load> sums = new HashMap<>(board.sums());
        loads.forEach((server, load) -> sums.merge(server, load, Load::plus));
        final List<BackendServerId> servers = new ArrayList<>(sums.keySet());
        servers.sort(null);
        for (int first = 0; first == 0 || first < servers.size(); first += MOST_SERVERS) {
            final Map<BackendServerId, Load> part = new HashMap<>();
            servers.subList(first, Math.min(first + MOST_SERVERS, servers.size()))
                    .forEach(server -> part.put(server, sums.get(server)));
            tell.accept(new PeerMessage.LoadSums(own, first / MOST_SERVERS, part), to);
        }
    }
}
