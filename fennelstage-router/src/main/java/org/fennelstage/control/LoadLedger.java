package org.fennelstage.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fennelstage.backend.SlotLedger;
import org.fennelstage.id.BackendServerId;
import org.fennelstage.id.VmId;
import org.fennelstage.peer.generated.Envelope;
import org.fennelstage.peer.generated.LoadReport;
import org.fennelstage.peer.generated.ServerLoad;
import org.fennelstage.peer.generated.SlotReply;
import org.fennelstage.peer.generated.SlotRequest;

/**
 * Reserves slots of backend servers. One VM of the data centre, the keeper, counts the requests at
 * each backend server; this class sends requests to the keepers and maintains the counts for which
 * this VM is the keeper.
 *
 * <p>The shared counts let a VM take the requests of all other VMs into account. Thread-safe.
 */
public final class LoadLedger {

    private static final Duration TIMEOUT = Duration.ofMillis(25);
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(5);

    private final Duties duties;
    private final SlotLedger ledger = SlotLedger.empty();
    private final Supplier<Map<BackendServerId, Integer>> ownLoads;
    private final ScheduledExecutorService timer;

    /**
     * Creates a ledger.
     *
     * @param duties determines the keepers and sends messages to them
     * @param ownLoads returns the number of requests that this VM has at each backend server
     * @param timer schedules reports
     */
    public LoadLedger(
            final Duties duties,
            final Supplier<Map<BackendServerId, Integer>> ownLoads,
            final ScheduledExecutorService timer) {
        this.duties = Objects.requireNonNull(duties, "duties is null");
        this.ownLoads = Objects.requireNonNull(ownLoads, "ownLoads is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
    }

    /** Starts periodic reports of this VM's load, so that a new keeper receives it. */
    public void start() {
        final long period = REPORT_PERIOD.toMillis();
        timer.scheduleWithFixedDelay(
                () -> report(ownLoads.get()), period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Requests a slot.
     *
     * @param server the backend server
     * @param slots the number of requests that it runs concurrently
     * @param own the number of requests that this VM already has there
     * @param force whether to count the request even if no slot is free
     * @return the reservation, empty if there is no keeper or it did not reply in time
     */
    public CompletableFuture<Optional<SlotLedger.Reservation>> reserve(
            final BackendServerId server, final int slots, final int own, final boolean force) {
        final Optional<VmId> keeper = duties.holder(duty(server));
        if (keeper.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (keeper.get().equals(duties.self())) {
            return CompletableFuture.completedFuture(
                    Optional.of(ledger.reserve(server, slots, duties.self(), own, force)));
        }
        final Envelope.Builder body =
                Envelope.newBuilder()
                        .setSlotRequest(
                                SlotRequest.newBuilder()
                                        .setServer(server.value())
                                        .setSlots(slots)
                                        .setOwn(own)
                                        .setForce(force));
        return duties.request(keeper.get(), body, TIMEOUT)
                .thenApply(reply -> reply.map(e -> decode(e.getSlotReply())));
    }

    /**
     * Reports to the keeper how many requests this VM has at a backend server.
     *
     * @param server the backend server
     * @param own the number of requests
     */
    public void reportLoad(final BackendServerId server, final int own) {
        report(Map.of(server, own));
    }

    /**
     * Removes the counts of a VM that is no longer a member.
     *
     * @param vm the VM
     */
    public void forget(final VmId vm) {
        ledger.forget(vm);
    }

    /**
     * Handles a message if it is a slot request or a load report.
     *
     * @param message the message
     * @param reply sends the reply to the sender
     * @return false if the message is of another kind
     */
    public boolean handle(final Envelope message, final Consumer<Envelope.Builder> reply) {
        final VmId sender = VmId.of(message.getSender());
        switch (message.getBodyCase()) {
            case SLOT_REQUEST -> {
                final SlotRequest request = message.getSlotRequest();
                final SlotLedger.Reservation reservation =
                        ledger.reserve(
                                BackendServerId.of(request.getServer()),
                                request.getSlots(),
                                sender,
                                request.getOwn(),
                                request.getForce());
                reply.accept(encode(reservation));
            }
            case LOAD_REPORT ->
                    message.getLoadReport()
                            .getLoadsList()
                            .forEach(
                                    l ->
                                            ledger.set(
                                                    BackendServerId.of(l.getServer()),
                                                    sender,
                                                    l.getOwn()));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void report(final Map<BackendServerId, Integer> loads) {
        final Map<VmId, LoadReport.Builder> byKeeper = new HashMap<>();
        loads.forEach(
                (server, own) -> {
                    final Optional<VmId> keeper = duties.holder(duty(server));
                    if (keeper.filter(duties.self()::equals).isPresent()) {
                        ledger.set(server, duties.self(), own);
                    } else if (keeper.isPresent()) {
                        byKeeper.computeIfAbsent(keeper.get(), k -> LoadReport.newBuilder())
                                .addLoads(
                                        ServerLoad.newBuilder()
                                                .setServer(server.value())
                                                .setOwn(own));
                    }
                });
        byKeeper.forEach(
                (keeper, report) ->
                        duties.send(keeper, Envelope.newBuilder().setLoadReport(report)));
    }

    private static String duty(final BackendServerId server) {
        return "load/" + server;
    }

    private static Envelope.Builder encode(final SlotLedger.Reservation reservation) {
        return Envelope.newBuilder()
                .setSlotReply(
                        SlotReply.newBuilder()
                                .setGranted(reservation.granted())
                                .setRunning(reservation.running()));
    }

    private static SlotLedger.Reservation decode(final SlotReply reply) {
        return new SlotLedger.Reservation(reply.getGranted(), reply.getRunning());
    }
}
