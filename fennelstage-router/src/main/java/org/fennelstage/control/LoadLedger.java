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
 * Asks for slots of backend servers, each at the VM of this data centre that keeps the server's
 * count, and keeps the counts that are this VM's duty.
 *
 * <p>Without it each VM would know its own requests only, about one in forty of those at a server.
 * Thread-safe.
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
     * @param duties reaches the keepers
     * @param ownLoads tells how many requests this VM has at each server
     * @param timer runs reports
     */
    public LoadLedger(
            final Duties duties,
            final Supplier<Map<BackendServerId, Integer>> ownLoads,
            final ScheduledExecutorService timer) {
        this.duties = Objects.requireNonNull(duties, "duties is null");
        this.ownLoads = Objects.requireNonNull(ownLoads, "ownLoads is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
    }

    /** Begins to tell keepers of this VM's requests, so that a new keeper learns of them. */
    public void start() {
        final long period = REPORT_PERIOD.toMillis();
        timer.scheduleWithFixedDelay(
                () -> report(ownLoads.get()), period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Asks for a slot.
     *
     * @param server the server
     * @param slots how many requests it runs at once
     * @param own how many requests this VM already has there
     * @param force whether to count the request even if no slot is free
     * @return the answer, empty if the keeper gave none in time
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
     * Tells the keeper how many requests this VM has at a server.
     *
     * @param server the server
     * @param own the count
     */
    public void changed(final BackendServerId server, final int own) {
        report(Map.of(server, own));
    }

    /**
     * Drops the counts of a VM that is gone.
     *
     * @param vm the VM
     */
    public void forget(final VmId vm) {
        ledger.forget(vm);
    }

    /**
     * Takes a message if it is about slots.
     *
     * @param message the message
     * @param reply sends the answer
     * @return false if the message belongs to someone else
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
