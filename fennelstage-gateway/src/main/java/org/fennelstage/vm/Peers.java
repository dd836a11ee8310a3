package org.fennelstage.vm;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.random.RandomGenerator;
import org.fennelstage.fleet.ServerAddress;
import org.fennelstage.gateway.Sockets;
import org.fennelstage.id.DataCentreId;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.member.Rendezvous;
import org.fennelstage.store.Page;
import org.fennelstage.store.Store;
import org.fennelstage.store.StoreKind;
import org.fennelstage.store.StoreResult;
import org.fennelstage.store.StoredValue;
import org.fennelstage.store.VmEntry;

/**
 * The VMs, as listed in the store, and relays to the store through them.
 *
 * <p>Entries of stopped VMs remain; a relay that does not respond is skipped. Invariant: a VM that
 * was listed once is never removed. A store that was restored from an older copy lacks later
 * entries; without them VMs would lose their relays and take too large a share of the fleet's
 * limits. Not thread-safe; confined to the event loop.
 */
final class Peers {

    /**
     * Time between two reads of the list; milliseconds. The list is polled, since with a watch each
     * VM that registers would cause a call by every VM, 64 times 64 calls at the start of a fleet
     * of 64.
     */
    private static final long READ_PERIOD_MILLIS = 15_000;

    /**
     * Time of the second read of the list, when all VMs of a starting fleet have registered;
     * milliseconds. Until then this VM calls the store directly, since the VM that coalesces calls
     * is starting as well.
     */
    private static final long SECOND_READ_MILLIS = 3_000;

    /**
     * Delay of the read after the store was restored from an older copy; milliseconds. A stale list
     * may be a few seconds old, and must not precede the restore.
     */
    private static final long RESTORED_READ_DELAY_MILLIS = 3_000;

    /** Spread of these reads over the VMs; milliseconds. Each may be followed by a write. */
    private static final long RESTORED_READ_SPREAD_MILLIS = 3_000;

    /**
     * Number of other VMs below which all VMs of the fleet exchange loads; in a larger fleet those
     * of a data centre do, which avoids the cost of traffic between data centres.
     */
    private static final int FULL_EXCHANGE_VM_LIMIT = 16;

    /**
     * Number of VMs in a data centre from which on one of them calls the store for all. In a
     * smaller one the short watch that detects the failure of that VM would cost more calls than it
     * saves.
     */
    private static final int MIN_VMS_TO_COALESCE = 4;

    private final VmEntry own;
    private final Function<ServerAddress, Store> relayAt;
    private final Map<VmId, VmEntry> entries = new LinkedHashMap<>();
    private final Map<ServerAddress, Store> relaysByAddress = new HashMap<>();
    private List<Store> relays = List.of();
    private List<Store> coalescingRelays = List.of();
    private List<VmId> dataCentreVms = List.of();
    private List<InetSocketAddress> dataCentrePeers = List.of();
    private List<InetSocketAddress> allPeers = List.of();
    private int reads;
    private boolean fleetKnown;
    private final IntConsumer countListener;
    private Consumer<Set<VmId>> fleetListener = others -> {};

    Peers(
            final VmEntry own,
            final Function<ServerAddress, Store> relayAt,
            final IntConsumer countListener) {
        this.countListener = Objects.requireNonNull(countListener, "countListener is null");
        this.own = Objects.requireNonNull(own, "own is null");
        this.relayAt = Objects.requireNonNull(relayAt, "relayAt is null");
    }

    /**
     * Sets the listener for the other VMs, called once the fleet is known.
     *
     * @param listener receives the ids of the others, including those that have stopped
     */
    void onFleetKnown(final Consumer<Set<VmId>> listener) {
        fleetListener = Objects.requireNonNull(listener, "listener is null");
    }

    /** Starts reading the list; adds this VM to it if it is missing. */
    void start(final EventLoop loop, final Store store) {
        read(loop, store, SECOND_READ_MILLIS);
    }

    private void read(final EventLoop loop, final Store store, final long nextReadMillis) {
        store.listStale(StoreKind.VMS, result -> onList(store, result));
        loop.schedule(
                () -> read(loop, store, READ_PERIOD_MILLIS), nextReadMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the list again soon, since a store restored from an older copy may lack this VM.
     *
     * @param loop runs it
     * @param store the store
     * @param random spreads the calls of the VMs
     */
    void onStoreRestored(final EventLoop loop, final Store store, final RandomGenerator random) {
        loop.schedule(
                () -> store.listStale(StoreKind.VMS, result -> onList(store, result)),
                RESTORED_READ_DELAY_MILLIS + random.nextLong(RESTORED_READ_SPREAD_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private void onList(final Store store, final StoreResult<Page<VmEntry>> result) {
        if (result instanceof StoreResult.Done<Page<VmEntry>> done) {
            final List<StoredValue<VmEntry>> values = done.value().values();
            onEntries(values);
            if (!contains(values, own)) {
                EventLog.write(
                        Event.VM_ENTRY_WRITTEN,
                        "vm",
                        own.vm(),
                        "position",
                        done.value().position());
                store.writeVm(own, Peers::onEntryWritten);
            }
        }
    }

    private static boolean contains(final List<StoredValue<VmEntry>> values, final VmEntry entry) {
        return values.stream().anyMatch(v -> v.value().equals(Optional.of(entry)));
    }

    /**
     * Returns whether this VM has read the list less than twice, and so calls the store directly.
     */
    boolean hasJustStarted() {
        return reads < 2;
    }

    /** Returns the relays through the other VMs, those of the own data centre first. */
    List<Store> relays() {
        return relays;
    }

    /**
     * Returns the relays through the VMs of the own data centre, this one included, in an order
     * that is the same at each of them; empty if calls are not coalesced.
     */
    List<Store> coalescingRelays() {
        return coalescingRelays;
    }

    /**
     * Returns the VMs of the own data centre, this one included, in an order that is the same at
     * each of them.
     */
    List<VmId> dataCentreVms() {
        return dataCentreVms;
    }

    /**
     * Returns the VMs of the own data centre, this one included, in an order that is the same at
     * each of them.
     *
     * @param task what the order is for; different tasks have different first VMs
     */
    List<VmId> rankedInDataCentre(final String task) {
        final Set<VmId> vms = new HashSet<>(dataCentreVms);
        // A VM that has just started is not listed yet.
        vms.add(own.vm());
        return Rendezvous.rank(task, vms);
    }

    /**
     * Returns the VMs of a data centre, or all VMs if it has none, in an order that is the same at
     * each of them.
     *
     * @param task what the order is for; different tasks have different first VMs
     * @param dataCentre the data centre
     */
    List<VmId> rankedNear(final String task, final DataCentreId dataCentre) {
        final List<VmId> near =
                entries.values().stream()
                        .filter(e -> e.dataCentre().equals(dataCentre))
                        .map(VmEntry::vm)
                        .toList();
        return Rendezvous.rank(task, near.isEmpty() ? entries.keySet() : near);
    }

    /** Returns a VM's address for peer messages, empty if it was never listed. */
    Optional<InetSocketAddress> address(final VmId vm) {
        return Optional.ofNullable(entries.get(vm)).map(e -> Sockets.address(e.address()));
    }

    /** Returns whether all VMs of the fleet exchange loads, not only those of a data centre. */
    boolean exchangesLoadsWithAll() {
        return allPeers.size() < FULL_EXCHANGE_VM_LIMIT;
    }

    /** Returns the addresses of the other VMs of the own data centre. */
    List<InetSocketAddress> dataCentrePeers() {
        return dataCentrePeers;
    }

    /** Returns the addresses of all other VMs. */
    List<InetSocketAddress> allPeers() {
        return allPeers;
    }

    /** Returns the addresses of the VMs with which this one exchanges loads. */
    List<InetSocketAddress> loadPeers() {
        return exchangesLoadsWithAll() ? allPeers : dataCentrePeers;
    }

    /** Returns the number of other VMs per VM with which this one exchanges loads. */
    double othersPerLoadPeer() {
        final int loadPeers = loadPeers().size();
        return loadPeers == 0 ? 1 : (double) allPeers.size() / loadPeers;
    }

    private void onEntries(final List<StoredValue<VmEntry>> values) {
        reads++;
        values.forEach(v -> v.value().ifPresent(e -> entries.put(e.vm(), e)));
        // A first list that contains this VM is from an earlier run of the fleet; one without it
        // may be incomplete because the fleet is still starting.
        fleetKnown = fleetKnown || !hasJustStarted() || contains(values, own);
        updateDerivedLists();
        if (fleetKnown) {
            final Set<VmId> others = new HashSet<>(entries.keySet());
            others.remove(own.vm());
            fleetListener.accept(others);
        }
    }

    private void updateDerivedLists() {
        countListener.accept(entries.size());
        relaysByAddress
                .keySet()
                .retainAll(entries.values().stream().map(VmEntry::address).toList());
        updatePeers();
        updateDataCentre();
    }

    private void updatePeers() {
        final List<VmEntry> others = new ArrayList<>(entries.values());
        others.removeIf(e -> e.vm().equals(own.vm()));
        final Comparator<VmEntry> dataCentreFirst =
                Comparator.comparing(e -> !e.dataCentre().equals(own.dataCentre()));
        // The order differs between VMs, so that they do not all use the same relay.
        final Comparator<VmEntry> ownOrder =
                Comparator.comparingLong(e -> Rendezvous.weight(own.vm().value(), e.vm().value()));
        others.sort(dataCentreFirst.thenComparing(ownOrder));
        relays = others.stream().map(this::relayThrough).toList();
        allPeers = others.stream().map(e -> Sockets.address(e.address())).toList();
    }

    private void updateDataCentre() {
        final List<VmId> ids =
                entries.values().stream()
                        .filter(e -> e.dataCentre().equals(own.dataCentre()))
                        .map(VmEntry::vm)
                        .toList();
        dataCentrePeers =
                ids.stream()
                        .filter(vm -> !vm.equals(own.vm()))
                        .map(vm -> Sockets.address(entries.get(vm).address()))
                        .toList();
        dataCentreVms = Rendezvous.rank(own.dataCentre().value(), ids);
        coalescingRelays =
                hasJustStarted() || ids.size() < MIN_VMS_TO_COALESCE
                        ? List.of()
                        : dataCentreVms.stream().map(vm -> relayThrough(entries.get(vm))).toList();
    }

    /**
     * Returns this VM's rank at a task that any one VM may do.
     *
     * @param task the name of the task
     * @return the number of VMs before it
     */
    int rankFor(final String task) {
        return Math.max(0, Rendezvous.rank(task, entries.keySet()).indexOf(own.vm()));
    }

    private Store relayThrough(final VmEntry entry) {
        return relaysByAddress.computeIfAbsent(entry.address(), relayAt);
    }

    private static void onEntryWritten(final StoreResult<Void> result) {
        if (result instanceof StoreResult.Unavailable<Void> unavailable) {
            EventLog.write(
                    Event.WRITE_FAILED, "object", "own entry", "detail", unavailable.detail());
        }
    }
}
