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
 * Brings the bills of this VM's requests into the object API, through a keeper VM of the data
 * centre.
 *
 * <p>Before a caller sees the end of its answer the bill is in the memory of two VMs, this one and
 * the keeper. The keeper writes all it holds once a second. If the keeper dies this VM sends its
 * bills to the next; if this VM dies the keeper has them. A bill is lost only if both die within
 * the time of one write, or all VMs of a data centre while the platform is down.
 *
 * <p>Invariant: a bill leaves memory only after the object API holds it. Bills may be written more
 * than once; readers count each request id once. Thread-safe; one monitor guards the two tables.
 */
public final class Bills {

    /** The duty of keeping a data centre's bills. */
    public static final String DUTY = "bills";

    private static final Duration HOLD_TIMEOUT = Duration.ofMillis(300);
    private static final Duration FLUSH_PERIOD = Duration.ofSeconds(1);
    private static final Duration RESEND_AFTER = Duration.ofSeconds(5);
    private static final int CHOICES = 2;
    private static final int RESEND_BATCH = 200;

    private final Duties duties;
    private final BillWriter writer;
    private final ScheduledExecutorService timer;
    private final InstantSource clock;
    private final Map<RequestId, Own> own = new LinkedHashMap<>();
    private final Map<RequestId, Held> held = new LinkedHashMap<>();
    private boolean flushing;

    private static final class Own {
        private final Bill bill;
        private long sentMillis;

        Own(final Bill bill, final long sentMillis) {
            this.bill = bill;
            this.sentMillis = sentMillis;
        }
    }

    private record Held(Bill bill, VmId origin) {}

    /**
     * Creates bills and starts their timers.
     *
     * @param duties reaches the keepers
     * @param store the object API
     * @param timer runs flushes
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

    /** Begins to write and resend bills. */
    public void start() {
        final long period = FLUSH_PERIOD.toMillis();
        timer.scheduleWithFixedDelay(this::flush, period, period, TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(this::resend, period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes a bill into two memories.
     *
     * @param bill the bill
     * @return completes when the caller may see the end of its answer
     */
    public CompletableFuture<Void> record(final Bill bill) {
        synchronized (this) {
            own.put(bill.request(), new Own(bill, clock.millis()));
        }
        return hold(bill, duties.others(DUTY), 0);
    }

    /**
     * Returns how many bills are not in the object API yet.
     *
     * @return own ones and those kept for others
     */
    public synchronized int waiting() {
        return own.size() + held.size();
    }

    /** Writes what is held, now; used before this VM stops. */
    public void flush() {
        final List<Held> batch;
        synchronized (this) {
            if (flushing || held.isEmpty()) {
                return;
            }
            flushing = true;
            batch = held.values().stream().limit(writer.room()).toList();
        }
        writer.append(batch.stream().map(Held::bill).toList())
                .thenAccept(written -> onFlushed(batch, written));
    }

    /**
     * Hands all bills to another VM; used before this VM stops while the object API is down.
     *
     * @return completes when another VM has them, or has refused
     */
    public CompletableFuture<Void> handOver() {
        final List<Bill> all = new ArrayList<>();
        synchronized (this) {
            own.values().forEach(o -> all.add(o.bill));
            held.values().forEach(h -> all.add(h.bill()));
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
     * Takes a message if it is about bills.
     *
     * @param message the message
     * @param reply sends the answer
     * @return false if the message belongs to someone else
     */
    public boolean handle(final Envelope message, final Consumer<Envelope.Builder> reply) {
        switch (message.getBodyCase()) {
            case BILLS -> keep(message, reply);
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

    private CompletableFuture<Void> hold(
            final Bill bill, final List<VmId> choices, final int next) {
        if (next >= choices.size() || next >= CHOICES) {
            return holdAlone(bill);
        }
        return duties.request(choices.get(next), encode(List.of(bill)), HOLD_TIMEOUT)
                .thenCompose(
                        reply ->
                                reply.isPresent()
                                        ? CompletableFuture.<Void>completedFuture(null)
                                        : hold(bill, choices, next + 1));
    }

    private CompletableFuture<Void> holdAlone(final Bill bill) {
        // Nobody else is there to keep the bill, so this VM writes it itself. The caller waits for
        // the write as it would have waited for the other VM; if the object API is down too it gets
        // its answer all the same, since a bill at risk harms less than an answer withheld.
        synchronized (this) {
            own.remove(bill.request());
            held.put(bill.request(), new Held(bill, duties.self()));
        }
        final CompletableFuture<Void> done = new CompletableFuture<>();
        flush();
        awaitWritten(bill.request(), clock.millis() + HOLD_TIMEOUT.toMillis(), done);
        return done;
    }

    private void awaitWritten(
            final RequestId request,
            final long deadlineMillis,
            final CompletableFuture<Void> done) {
        final boolean isWritten;
        synchronized (this) {
            isWritten = !held.containsKey(request);
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

    private void keep(final Envelope message, final Consumer<Envelope.Builder> reply) {
        final VmId origin = VmId.of(message.getSender());
        try {
            for (final ByteString bytes : message.getBills().getBillsList()) {
                final Bill bill = Json.read(bytes.toByteArray(), Bill.class);
                synchronized (this) {
                    held.put(bill.request(), new Held(bill, origin));
                }
            }
            reply.accept(Envelope.newBuilder().setDone(Done.newBuilder().setAccepted(true)));
        } catch (final MalformedValueException e) {
            // No answer: the sender turns to another VM and keeps its copy.
            return;
        }
    }

    private void onFlushed(final List<Held> batch, final boolean written) {
        synchronized (this) {
            flushing = false;
            if (written) {
                batch.forEach(h -> held.remove(h.bill().request()));
            }
        }
        if (!written) {
            EventLog.write(Event.BILLS_WAITING, "count", batch.size());
            return;
        }
        EventLog.write(Event.BILLS_WRITTEN, "count", batch.size());
        final Map<VmId, BillsSettled.Builder> byOrigin = new HashMap<>();
        for (final Held settled : batch) {
            byOrigin.computeIfAbsent(settled.origin(), o -> BillsSettled.newBuilder())
                    .addRequests(settled.bill().request().value());
        }
        byOrigin.forEach(
                (origin, settled) ->
                        duties.send(origin, Envelope.newBuilder().setBillsSettled(settled)));
    }

    private void resend() {
        final long now = clock.millis();
        final List<Bill> late = new ArrayList<>();
        synchronized (this) {
            final Iterator<Own> all = own.values().iterator();
            while (all.hasNext() && late.size() < RESEND_BATCH) {
                final Own candidate = all.next();
                if (now - candidate.sentMillis >= RESEND_AFTER.toMillis()) {
                    candidate.sentMillis = now;
                    late.add(candidate.bill);
                }
            }
        }
        if (late.isEmpty()) {
            return;
        }
        final Optional<VmId> keeper = duties.others(DUTY).stream().findFirst();
        if (keeper.isPresent()) {
            duties.send(keeper.get(), encode(late));
            return;
        }
        synchronized (this) {
            late.forEach(b -> held.put(b.request(), new Held(b, duties.self())));
            late.forEach(b -> own.remove(b.request()));
        }
    }

    private synchronized void forgetOwn(final RequestId request) {
        own.remove(request);
    }

    private synchronized void forget(final RequestId request) {
        own.remove(request);
        held.remove(request);
    }

    private static Envelope.Builder encode(final Collection<Bill> bills) {
        final var message = org.fennelstage.peer.generated.Bills.newBuilder();
        bills.forEach(b -> message.addBills(ByteString.copyFrom(Json.write(b))));
        return Envelope.newBuilder().setBills(message);
    }
}
