package org.fennelstage.control;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fennelstage.bill.Bill;
import org.fennelstage.id.RequestId;
import org.fennelstage.id.VmId;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.objects.Json;
import org.fennelstage.objects.MalformedValueException;
import org.fennelstage.objects.ObjectStore;
import org.fennelstage.peer.generated.BillsSettled;
import org.fennelstage.peer.generated.Done;
import org.fennelstage.peer.generated.Envelope;

/**
 * Writes the bills of this VM's requests to the store, through a keeper VM of the data centre.
 *
 * <p>A bill is replicated in the memory of this VM and the keeper before the caller receives the
 * end of its response. The keeper writes its bills once a second. If the keeper crashes this VM
 * sends its bills to the next one; if this VM crashes the keeper has them. A bill is lost only if
 * both crash before it is written, or all VMs of the data centre crash while the store is
 * unavailable.
 *
 * <p>Invariant: a bill leaves memory only after the store or, at a hand-over, another VM holds it.
 * Bills may be written more than once; readers count each request id once. Thread-safe; one monitor
 * guards the two tables.
 */
public final class Bills {

    /** The duty of writing the bills of a data centre. */
    public static final String DUTY = "bills";

    private static final Duration REPLICATION_TIMEOUT = Duration.ofMillis(300);
    private static final Duration FLUSH_PERIOD = Duration.ofSeconds(1);
    private static final Duration RESEND_AFTER = Duration.ofSeconds(5);
    private static final int MAX_KEEPERS_TRIED = 2;
    private static final int MAX_RESEND_BATCH = 200;

    private final Duties duties;
    private final BillWriter writer;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final Map<RequestId, OwnBill> ownBills = new LinkedHashMap<>();
    private final Map<RequestId, HeldBill> heldBills = new LinkedHashMap<>();
    private boolean flushing;

    private static final class OwnBill {
        private final Bill bill;
        private long sentMillis;

        OwnBill(final Bill bill, final long sentMillis) {
            this.bill = bill;
            this.sentMillis = sentMillis;
        }
    }

    private record HeldBill(Bill bill, VmId origin) {}

    /**
     * Creates an instance without bills; {@link #start} starts periodic writes.
     *
     * @param duties determines the keepers and sends messages to them
     * @param store the store
     * @param timer schedules writes and resends
     * @param clock the clock
     */
    public Bills(
            final Duties duties,
            final ObjectStore store,
            final ScheduledExecutorService timer,
            final InstantSource clock) {
        this.duties = Objects.requireNonNull(duties, "duties is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.writer =
                new BillWriter(store, duties.dataCentre(), duties.self(), duties.incarnation());
    }

    /** Starts periodic writes and resends. */
    public void start() {
        final long period = FLUSH_PERIOD.toMillis();
        timer.scheduleWithFixedDelay(this::flush, period, period, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(this::resend, period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Replicates a bill in the memory of two VMs.
     *
     * @param bill the bill
     * @return completes when the end of the response may be sent to the caller
     */
    public CompletableFuture<Void> record(final Bill bill) {
        synchronized (this) {
            ownBills.put(bill.request(), new OwnBill(bill, clock.millis()));
        }
        return replicate(bill, duties.others(DUTY), 0);
    }

    /**
     * Returns the number of bills that are not known to be in the store.
     *
     * @return the bills of this VM and those held for other VMs
     */
    public synchronized int waiting() {
        return ownBills.size() + heldBills.size();
    }

    /**
     * Writes the held bills without waiting for the next period; also called before this VM stops.
     */
    public void flush() {
        final List<HeldBill> batch;
        synchronized (this) {
            if (flushing || heldBills.isEmpty()) {
                return;
            }
            flushing = true;
            batch = heldBills.values().stream().limit(writer.remainingCapacity()).toList();
        }
        writer.append(batch.stream().map(HeldBill::bill).toList())
                .thenAccept(written -> onFlushed(batch, written));
    }

    /**
     * Sends all bills to another VM; called before this VM stops while the store is unavailable.
     *
     * @return completes when another VM has them or has not replied in time
     */
    public CompletableFuture<Void> handOver() {
        final List<Bill> all = new ArrayList<>();
        synchronized (this) {
            ownBills.values().forEach(o -> all.add(o.bill));
            heldBills.values().forEach(h -> all.add(h.bill()));
        }
        final List<VmId> others = duties.others(DUTY);
        if (others.isEmpty() || all.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return duties.request(others.get(0), encode(all), FLUSH_PERIOD)
                .thenAccept(
                        reply -> {
                            if (reply.isPresent()) {
                                all.forEach(b -> forget(b.request()));
                            }
                        });
    }

    /**
     * Handles a message if it is about bills.
     *
     * @param message the message
     * @param reply sends the reply to the sender
     * @return false if the message is of another kind
     */
    public boolean handle(final Envelope message, final Consumer<Envelope.Builder> reply) {
        switch (message.getBodyCase()) {
            case BILLS -> holdForSender(message, reply);
            case BILLS_SETTLED ->
                    message.getBillsSettled()
                            .getRequestsList()
                            .forEach(r -> forgetOwn(RequestId.of(r)));
            default -> {
                return false;
            }
        }
        return true;
    }

    private CompletableFuture<Void> replicate(
            final Bill bill, final List<VmId> keepers, final int next) {
        if (next >= keepers.size() || next >= MAX_KEEPERS_TRIED) {
            return writeWithoutKeeper(bill);
        }
        return duties.request(keepers.get(next), encode(List.of(bill)), REPLICATION_TIMEOUT)
                .thenCompose(
                        reply ->
                                reply.isPresent()
                                        ? CompletableFuture.<Void>completedFuture(null)
                                        : replicate(bill, keepers, next + 1));
    }

    private CompletableFuture<Void> writeWithoutKeeper(final Bill bill) {
        // No other VM holds the bill, so this VM writes it to the store itself. The response waits
        // for the write for a limited time; if the store is unavailable too, it is sent anyway.
        synchronized (this) {
            ownBills.remove(bill.request());
            heldBills.put(bill.request(), new HeldBill(bill, duties.self()));
        }
        final CompletableFuture<Void> done = new CompletableFuture<>();
        flush();
        awaitWritten(bill.request(), clock.millis() + REPLICATION_TIMEOUT.toMillis(), done);
        return done;
    }

    private void awaitWritten(
            final RequestId request,
            final long deadlineMillis,
            final CompletableFuture<Void> done) {
        final boolean isWritten;
        synchronized (this) {
            isWritten = !heldBills.containsKey(request);
        }
        if (isWritten) {
            done.complete(null);
        } else if (clock.millis() >= deadlineMillis) {
            EventLog.write(Event.BILL_NOT_REPLICATED, "request", request);
            done.complete(null);
        } else {
            timer.schedule(
                    () -> {
                        flush();
                        awaitWritten(request, deadlineMillis, done);
                    },
                    5,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void holdForSender(final Envelope message, final Consumer<Envelope.Builder> reply) {
        final VmId origin = VmId.of(message.getSender());
        try {
            for (final ByteString bytes : message.getBills().getBillsList()) {
                final Bill bill = Json.read(bytes.toByteArray(), Bill.class);
                synchronized (this) {
                    heldBills.put(bill.request(), new HeldBill(bill, origin));
                }
            }
            reply.accept(Envelope.newBuilder().setDone(Done.newBuilder().setAccepted(true)));
        } catch (final MalformedValueException e) {
            // Without a reply the sender keeps its copy and tries another VM.
            return;
        }
    }

    private void onFlushed(final List<HeldBill> batch, final boolean written) {
        synchronized (this) {
            flushing = false;
            if (written) {
                batch.forEach(h -> heldBills.remove(h.bill().request()));
            }
        }
        if (!written) {
            EventLog.write(Event.BILLS_WAITING, "count", batch.size());
            return;
        }
        EventLog.write(Event.BILLS_WRITTEN, "count", batch.size());
        final Map<VmId, BillsSettled.Builder> byOrigin = new HashMap<>();
        for (final HeldBill settled : batch) {
            byOrigin.computeIfAbsent(settled.origin(), o -> BillsSettled.newBuilder())
                    .addRequests(settled.bill().request().value());
        }
        byOrigin.forEach(
                (origin, settled) ->
                        duties.send(origin, Envelope.newBuilder().setBillsSettled(settled)));
    }

    private void resend() {
        final long now = clock.millis();
        final List<Bill> overdue = new ArrayList<>();
        synchronized (this) {
            final Iterator<OwnBill> all = ownBills.values().iterator();
            while (all.hasNext() && overdue.size() < MAX_RESEND_BATCH) {
                final OwnBill own = all.next();
                if (now - own.sentMillis >= RESEND_AFTER.toMillis()) {
                    own.sentMillis = now;
                    overdue.add(own.bill);
                }
            }
        }
        if (overdue.isEmpty()) {
            return;
        }
        final Optional<VmId> keeper = duties.others(DUTY).stream().findFirst();
        if (keeper.isPresent()) {
            duties.send(keeper.get(), encode(overdue));
            return;
        }
        synchronized (this) {
            overdue.forEach(b -> heldBills.put(b.request(), new HeldBill(b, duties.self())));
            overdue.forEach(b -> ownBills.remove(b.request()));
        }
    }

    private synchronized void forgetOwn(final RequestId request) {
        ownBills.remove(request);
    }

    private synchronized void forget(final RequestId request) {
        ownBills.remove(request);
        heldBills.remove(request);
    }

    private static Envelope.Builder encode(final Collection<Bill> bills) {
        final var message = org.fennelstage.peer.generated.Bills.newBuilder();
        bills.forEach(b -> message.addBills(ByteString.copyFrom(Json.write(b))));
        return Envelope.newBuilder().setBills(message);
    }
}
