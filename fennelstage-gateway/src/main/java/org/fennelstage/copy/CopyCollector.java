package org.fennelstage.copy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.startup.CopyRequests;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoreKind;
import org.fennelstage.time.MonotonicClock;

/**
 * Asks other VMs for copies of the kinds that this VM could not read from the store since its
 * start.
 *
 * <p>Invariants: nothing is asked unless a list of a kind failed that was never received, and
 * nothing once every kind was received; one call is pending at a time. Not thread-safe; confined to
 * the event loop.
 */
public final class CopyCollector {

    /**
     * The order in which kinds are asked for. A VM's position of the rollout orders covers its
     * backend servers, so those have to come first.
     */
    private static final List<StoreKind<?>> ORDER =
            List.of(
                    StoreKind.CONFIGURATION,
                    StoreKind.SERVERS,
                    StoreKind.ROLLOUTS,
                    StoreKind.EVACUATIONS,
                    StoreKind.QUARANTINE);

    /** A kind and its follower. */
    private record Wanted<T>(StoreKind<T> kind, Follower<T> follower) {}

    private final Function<InetSocketAddress, CopySource> sourceAt;
    private final Supplier<List<InetSocketAddress>> vms;
    private final MonotonicClock clock;
    private final CopyRequests<InetSocketAddress> requests;
    private final List<Wanted<?>> wanted = new ArrayList<>();
    private final Set<InetSocketAddress> malformedLogged = new HashSet<>();
    private boolean complete;
    private long used;

    /**
     * Creates a collector of no kind.
     *
     * @param sourceAt returns the source of copies at the peer address of a VM
     * @param vms the peer addresses of the listed VMs
     * @param requests decides whom to ask and when
     * @param clock the clock
     */
    public CopyCollector(
            final Function<InetSocketAddress, CopySource> sourceAt,
            final Supplier<List<InetSocketAddress>> vms,
            final CopyRequests<InetSocketAddress> requests,
            final MonotonicClock clock) {
        this.sourceAt = Objects.requireNonNull(sourceAt, "sourceAt is null");
        this.vms = Objects.requireNonNull(vms, "vms is null");
        this.requests = Objects.requireNonNull(requests, "requests is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Adds a kind.
     *
     * @param <T> the type that objects decode to
     * @param kind the kind
     * @param follower receives the copy
     */
    public <T> void add(final StoreKind<T> kind, final Follower<T> follower) {
        wanted.add(new Wanted<>(kind, follower));
        wanted.sort(Comparator.comparingInt(w -> ORDER.indexOf(w.kind())));
    }

    /**
     * Records a VM from which a peer message has arrived.
     *
     * @param sender its peer address
     */
    public void onSender(final InetSocketAddress sender) {
        if (!complete) {
            requests.onSender(sender);
        }
    }

    /** Asks for the next copy if one is needed. To be called several times a second. */
    public void askDue() {
        if (complete) {
            return;
        }
        complete = !wanted.isEmpty() && wanted.stream().allMatch(w -> w.follower().hasState());
        wanted.stream().filter(w -> w.follower().needsCopy()).findFirst().ifPresent(this::askFor);
    }

    private <T> void askFor(final Wanted<T> next) {
        final Optional<InetSocketAddress> vm = requests.next(vms.get(), clock.millis());
        vm.ifPresent(
                address ->
                        sourceAt.apply(address)
                                .copy(next.kind(), result -> onResult(next, address, result)));
    }

    private <T> void onResult(
            final Wanted<T> asked, final InetSocketAddress vm, final CopySource.Result<T> result) {
        if (asked.follower().hasState() && result instanceof CopySource.Given<T>) {
            // The store has responded meanwhile, which is no failure of the VM.
            requests.onGiven(vm);
        } else if (result instanceof CopySource.Given<T> given
                && asked.follower().offerCopy(given.page())) {
            requests.onGiven(vm);
            onUsed(asked.kind(), vm, given);
            askDue();
        } else {
            requests.onFailed(vm);
            if (result instanceof CopySource.Malformed<T> malformed && malformedLogged.add(vm)) {
                EventLog.write(
                        Event.OBJECT_MALFORMED,
                        "kind",
                        asked.kind(),
                        "vm",
                        vm,
                        "problem",
                        "copy: " + malformed.problem());
            }
        }
    }

    private <T> void onUsed(
            final StoreKind<T> kind, final InetSocketAddress vm, final CopySource.Given<T> given) {
        used++;
        EventLog.write(
                Event.COPY_USED,
                "kind",
                kind,
                "position",
                given.page().position(),
                "objects",
                given.page().values().size(),
                "age_ms",
                given.age().map(age -> Long.toString(age.toMillis())).orElse("relayed"),
                "vm",
                vm);
    }

    /**
     * Returns how many copies this VM has used.
     *
     * @return the count since its start
     */
    public long used() {
        return used;
    }
}
