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
 * The VMs, as they entered themselves into the store, and the store as they reach it.
 *
 * <p>Entries of VMs that are gone stay; a relay that does not answer is passed over. Invariant: a
 * VM that was heard of is not forgotten. A store that comes back from an older copy has lost the
 * entries made since; taken at its word, it would leave VMs without a way around it, and each VM
 * would take a larger part of what they share. Confined to the event loop.
 */
final class Peers {

    /**
     * How often the list is read; milliseconds. It matters only to a VM that the store turns away;
     * a watch would wake every VM for each VM that enters, 64 times 64 calls at the start of a
     * fleet of that size.
     */
    private static final long PERIOD_MILLIS = 15_000;

    /**
     * When the list is read for the second time; milliseconds. All VMs of a fleet that starts are
     * in it then. Until then this VM asks the store by itself: when all VMs start at once, the one
     * that is to ask for them is as busy with its own start.
     */
    private static final long SECOND_MILLIS = 3_000;

    /**
     * When the list is read after the store's return from an older copy; milliseconds. It may be
     * answered from some seconds ago, when the copy was not in use yet; what is some seconds old
     * after this time is of the copy.
     */
    private static final long RETURN_MILLIS = 3_000;

    /** Over which time the VMs' reads are spread then; milliseconds. Each may bring a write. */
    private static final long RETURN_SPREAD_MILLIS = 3_000;

    /**
     * VMs up to which all tell each other their loads; in a larger fleet those of a data centre do,
     * whose bytes are not paid for.
     */
    private static final int MOST_TO_TELL_ALL = 16;

    /**
     * VMs in a data centre from which on one of them asks the store for all. The short watch by
     * which that VM's silence is noticed costs as many calls as the watches of two or three VMs
     * that ask by themselves.
     */
    private static final int LEAST_TO_COALESCE = 4;

    private final VmEntry own;
    private final Function<ServerAddress, Store> relayOf;
    private final Map<VmId, VmEntry> entries = new LinkedHashMap<>();
    private final Map<ServerAddress, Store> stores = new HashMap<>();
    private List<Store> relays = List.of();
    private List<Store> coalescing = List.of();
    private List<VmId> ranked = List.of();
    private List<InetSocketAddress> nearOthers = List.of();
    private List<InetSocketAddress> allOthers = List.of();
    private int reads;
    private boolean knowsFleet;
    private final IntConsumer onCount;
    private Consumer<Set<VmId>> fleetListener = others -> {};

    Peers(
            final VmEntry own,
            final Function<ServerAddress, Store> relayOf,
            final IntConsumer onCount) {
        this.onCount = Objects.requireNonNull(onCount, "onCount is null");
        this.own = Objects.requireNonNull(own, "own is null");
        this.relayOf = Objects.requireNonNull(relayOf, "relayOf is null");
    }

    /**
     * Sets who hears which other VMs there are, once all are known.
     *
     * @param listener takes the others, gone ones included
     */
    void onFleet(final Consumer<Set<VmId>> listener) {
        fleetListener = Objects.requireNonNull(listener, "listener is null");
    }

    /** Begins to read the list, and to enter this VM when the list lacks it. */
    void start(final EventLoop loop, final Store store) {
        read(loop, store, SECOND_MILLIS);
    }

    private void read(final EventLoop loop, final Store store, final long againMillis) {
        store.listStale(StoreKind.VMS, answer -> onList(store, answer));
        loop.schedule(() -> read(loop, store, PERIOD_MILLIS), againMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the list again soon, since the store has come back from an older copy that may lack
     * this VM.
     *
     * @param loop runs it
     * @param store the store
     * @param random spreads the VMs' calls
     */
    void onStoreReplaced(final EventLoop loop, final Store store, final RandomGenerator random) {
        loop.schedule(
                () -> store.listStale(StoreKind.VMS, answer -> onList(store, answer)),
                RETURN_MILLIS + random.nextLong(RETURN_SPREAD_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    private void onList(final Store store, final StoreResult<Page<VmEntry>> answer) {
        if (answer instanceof StoreResult.Done<Page<VmEntry>> done) {
            final List<StoredValue<VmEntry>> values = done.value().values();
            take(values);
            if (!lists(values, own)) {
                EventLog.write(
                        Event.VM_ENTRY_WRITTEN,
                        "vm",
                        own.vm(),
                        "position",
                        done.value().position());
                store.writeVm(own, Peers::onEntered);
            }
        }
    }

    private static boolean lists(final List<StoredValue<VmEntry>> values, final VmEntry entry) {
        return values.stream().anyMatch(v -> v.value().equals(Optional.of(entry)));
    }

    /** Tells whether this VM has not read the list twice yet, and asks the store by itself. */
    boolean hasJustStarted() {
        return reads < 2;
    }

    /** Returns the store as the others reach it: those of the own data centre first. */
    List<Store> relays() {
        return relays;
    }

    /**
     * Returns the store as the VMs of the own data centre reach it, this VM included, in the order
     * on which all of them agree.
     */
    List<Store> coalescing() {
        return coalescing;
    }

    /**
     * Returns the VMs of the own data centre, this one included, in the order on which all of them
     * agree.
     */
    List<VmId> ranked() {
        return ranked;
    }

    /** Returns where a VM listens to others, empty if it was never heard of. */
    Optional<InetSocketAddress> address(final VmId vm) {
        return Optional.ofNullable(entries.get(vm)).map(e -> Sockets.address(e.address()));
    }

    /** Tells whether all VMs tell each other their loads, not only those of a data centre. */
    boolean tellsAll() {
        return allOthers.size() < MOST_TO_TELL_ALL;
    }

    /** Returns where the other VMs of the own data centre listen. */
    List<InetSocketAddress> nearOthers() {
        return nearOthers;
    }

    /** Returns where all other VMs listen. */
    List<InetSocketAddress> allOthers() {
        return allOthers;
    }

    /** Returns where the VMs listen that tell this one their loads, and hear its own. */
    List<InetSocketAddress> sharers() {
        return tellsAll() ? allOthers : nearOthers;
    }

    /** Returns how many other VMs there are for each that tells this one its load. */
    double othersPerSharer() {
        final int sharers = sharers().size();
        return sharers == 0 ? 1 : (double) allOthers.size() / sharers;
    }

    private void take(final List<StoredValue<VmEntry>> values) {
        reads++;
        values.forEach(v -> v.value().ifPresent(e -> entries.put(e.vm(), e)));
        // A list with this VM is of a fleet that ran before; one without it, of a fleet that
        // starts.
        knowsFleet = knowsFleet || !hasJustStarted() || lists(values, own);
        rank();
        if (knowsFleet) {
            final Set<VmId> others = new HashSet<>(entries.keySet());
            others.remove(own.vm());
            fleetListener.accept(others);
        }
    }

    private void rank() {
        onCount.accept(entries.size());
        stores.keySet().retainAll(entries.values().stream().map(VmEntry::address).toList());
        rankOthers();
        rankDataCentre();
    }

    private void rankOthers() {
        final List<VmEntry> others = new ArrayList<>(entries.values());
        others.removeIf(e -> e.vm().equals(own.vm()));
        final Comparator<VmEntry> nearFirst =
                Comparator.comparing(e -> !e.dataCentre().equals(own.dataCentre()));
        // Each VM has an order of its own, so that not all turn to the same relay.
        final Comparator<VmEntry> spread =
                Comparator.comparingLong(e -> Rendezvous.weight(own.vm().value(), e.vm().value()));
        others.sort(nearFirst.thenComparing(spread));
        relays = others.stream().map(this::storeThrough).toList();
        allOthers = others.stream().map(e -> Sockets.address(e.address())).toList();
    }

    private void rankDataCentre() {
        final List<VmId> near =
                entries.values().stream()
                        .filter(e -> e.dataCentre().equals(own.dataCentre()))
                        .map(VmEntry::vm)
                        .toList();
        nearOthers =
                near.stream()
                        .filter(vm -> !vm.equals(own.vm()))
                        .map(vm -> Sockets.address(entries.get(vm).address()))
                        .toList();
        ranked = Rendezvous.rank(own.dataCentre().value(), near);
        coalescing =
                hasJustStarted() || near.size() < LEAST_TO_COALESCE
                        ? List.of()
                        : ranked.stream().map(vm -> storeThrough(entries.get(vm))).toList();
    }

    /**
     * Returns this VM's turn at a task that any VM may do and one is to do.
     *
     * @param task the task's name
     * @return the number of VMs before it
     */
    int turn(final String task) {
        return Math.max(0, Rendezvous.rank(task, entries.keySet()).indexOf(own.vm()));
    }

    private Store storeThrough(final VmEntry entry) {
        return stores.computeIfAbsent(entry.address(), relayOf);
    }

    private static void onEntered(final StoreResult<Void> answer) {
        if (answer instanceof StoreResult.Unavailable<Void> unavailable) {
            EventLog.write(
                    Event.WRITE_FAILED, "object", "own entry", "detail", unavailable.detail());
        }
    }
}
