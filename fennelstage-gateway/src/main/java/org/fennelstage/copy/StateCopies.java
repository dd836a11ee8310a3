package org.fennelstage.copy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fennelstage.history.Position;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.startup.CopyAnnouncements;
import org.fennelstage.startup.CopyTerms;
import org.fennelstage.store.PageKeeper;
import org.fennelstage.store.PageText;
import org.fennelstage.store.StoreKind;
import org.fennelstage.time.MonotonicClock;

/**
 * Keeps what this VM reads from the store, and gives copies of it to VMs that start while the store
 * is unavailable.
 *
 * <p>Invariant: a call without {@link CopyFormat#ACCEPT_COPY} is never answered from a copy. Not
 * thread-safe; confined to the event loop.
 */
public final class StateCopies {

    /**
     * How long a call that accepts a copy waits for the store; milliseconds. The VM that asks turns
     * to the next one after twice this time.
     */
    private static final long STORE_MILLIS = 150;

    /** Length above which only one copy is sent at a time; bytes. */
    private static final int LARGE_BYTES = 65_536;

    private static final double BYTES_PER_MEGABIT_MILLI = 125;

    /** Shortest time between two log lines about refused copies; milliseconds. */
    private static final long REFUSED_LOG_MILLIS = 1_000;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final CopyFormat format;
    private final Supplier<OptionalLong> unavailableSince;
    private final BooleanSupplier versionsKnown;
    private final double linkMegabits;
    private final MonotonicClock clock;
    private final Map<StoreKind<?>, KeptCopy> kept = new LinkedHashMap<>();
    private final CopyAnnouncements announcements;
    private Predicate<String> usable = name -> true;
    private BooleanSupplier ready = () -> false;
    private IntSupplier others = () -> 0;
    private Runnable announce = () -> {};
    private long linkBusyUntilMillis = Long.MIN_VALUE;
    private long refusalLoggedMillis = Long.MIN_VALUE;
    private long given;
    private long refused;

    /**
     * Creates copies of no kind.
     *
     * @param format the form of the copies
     * @param unavailableSince when the store became unavailable to this VM; empty if it responds
     * @param versionsKnown whether this VM uses or has orders for the versions of all its backend
     *     servers
     * @param linkMegabits bandwidth of this VM's link; megabits a second
     * @param announcements decides when to announce that this VM gives copies
     * @param clock the clock
     */
    public StateCopies(
            final CopyFormat format,
            final Supplier<OptionalLong> unavailableSince,
            final BooleanSupplier versionsKnown,
            final double linkMegabits,
            final CopyAnnouncements announcements,
            final MonotonicClock clock) {
        this.format = Objects.requireNonNull(format, "format is null");
        this.unavailableSince = Objects.requireNonNull(unavailableSince, "supplier is null");
        this.versionsKnown = Objects.requireNonNull(versionsKnown, "versionsKnown is null");
        this.linkMegabits = linkMegabits;
        this.announcements = Objects.requireNonNull(announcements, "announcements is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Sets what tells whether this VM is ready; it is not by default.
     *
     * @param newReady returns whether it is ready
     */
    public void giveWhile(final BooleanSupplier newReady) {
        ready = Objects.requireNonNull(newReady, "newReady is null");
    }

    /**
     * Sets which backend servers the copies contain; all by default. That a server is draining or
     * its version bad may be known to this VM only, and a VM that starts would use the server.
     *
     * @param newUsable returns whether the server of an id is included
     */
    public void giveServers(final Predicate<String> newUsable) {
        usable = Objects.requireNonNull(newUsable, "newUsable is null");
    }

    /**
     * Returns the keeper of a kind, whose copies are given from then on.
     *
     * @param kind the kind
     * @return the keeper
     */
    public PageKeeper keeper(final StoreKind<?> kind) {
        return kept.computeIfAbsent(kind, k -> new KeptCopy(format, clock));
    }

    /**
     * Sets how this VM announces that it gives copies; by default it does not.
     *
     * @param newOthers the number of VMs that receive an announcement
     * @param newAnnounce sends one to each of them
     */
    public void announceThrough(final IntSupplier newOthers, final Runnable newAnnounce) {
        others = Objects.requireNonNull(newOthers, "newOthers is null");
        announce = Objects.requireNonNull(newAnnounce, "newAnnounce is null");
    }

    /**
     * Compacts what has not changed for a time, and announces that this VM gives copies if that is
     * due. To be called several times a second.
     */
    public void runPeriodicTask() {
        final boolean mayGive = ready.getAsBoolean() && unavailableSince.get().isPresent();
        if (announcements.isDue(mayGive, others.getAsInt(), clock.millis())) {
            announce.run();
        }
    }

    /**
     * Handles a call of another VM: from a copy if it accepts one and the store does not respond,
     * otherwise through the relay.
     *
     * @param exchange the call
     * @param relay relays calls to the store
     */
    public void handle(final ServerExchange exchange, final RelayHandler relay) {
        final Optional<StoreKind<?>> kind = requestedKind(exchange).filter(kept::containsKey);
        if (kind.isEmpty()) {
            relay.handle(exchange);
            return;
        }
        final OptionalLong since = unavailableSince.get();
        if (since.isPresent()) {
            final CopyTerms.Answer answer = give(exchange, kind.get(), since.getAsLong());
            if (answer != CopyTerms.Answer.GIVEN) {
                onRefused(kind.get(), answer);
                exchange.respond(SERVICE_UNAVAILABLE, "text/plain", "");
            }
            return;
        }
        relay.handle(exchange);
        exchange.eventLoop()
                .schedule(
                        () -> {
                            if (!exchange.isEnded()
                                    && give(exchange, kind.get(), clock.millis())
                                            == CopyTerms.Answer.GIVEN) {
                                // Otherwise its timeout would mark the store as lost 35 s later.
                                relay.withdraw(exchange);
                            }
                        },
                        STORE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private Optional<StoreKind<?>> requestedKind(final ServerExchange exchange) {
        final String accepts = exchange.headers().get(CopyFormat.ACCEPT_COPY);
        return exchange.method().equals(HttpMethod.GET.name())
                        && CopyFormat.ACCEPTED.equals(accepts)
                ? format.listedKind(exchange.uri())
                : Optional.empty();
    }

    /** Responds with a copy if one may be given. */
    private CopyTerms.Answer give(
            final ServerExchange exchange, final StoreKind<?> kind, final long unavailableMillis) {
        final KeptCopy copy = kept.get(kind);
        final long now = clock.millis();
        final CopyTerms.Answer answer =
                CopyTerms.answer(
                        ready.getAsBoolean(),
                        copy.confirmedMillis(),
                        unavailableMillis,
                        now < linkBusyUntilMillis);
        if (answer != CopyTerms.Answer.GIVEN) {
            return answer;
        }
        final Position position = position(kind);
        final Optional<PageText> list =
                copy.list(position, name -> !kind.equals(StoreKind.SERVERS) || usable.test(name));
        if (list.isEmpty()) {
            return CopyTerms.Answer.NOT_READ;
        }
        final byte[] body = list.get().bytes();
        final long ageMillis = now - copy.confirmedMillis().orElse(now);
        final HttpHeaders headers = format.headers(position);
        headers.set(CopyFormat.COPY_AGE_MS, Long.toString(ageMillis));
        exchange.respond(OK, headers, body);
        if (body.length > LARGE_BYTES) {
            linkBusyUntilMillis =
                    now + (long) (body.length / (linkMegabits * BYTES_PER_MEGABIT_MILLI));
        }
        given++;
        EventLog.write(
                Event.COPY_GIVEN,
                "kind",
                kind,
                "result",
                answer,
                "position",
                position,
                "age_ms",
                ageMillis,
                "bytes",
                body.length);
        return answer;
    }

    private Position position(final StoreKind<?> kind) {
        final Position own = kept.get(kind).position();
        final KeptCopy servers = kept.get(StoreKind.SERVERS);
        return kind.equals(StoreKind.ROLLOUTS) && servers != null
                ? CopyTerms.ordersPosition(own, servers.position(), versionsKnown.getAsBoolean())
                : own;
    }

    private void onRefused(final StoreKind<?> kind, final CopyTerms.Answer answer) {
        refused++;
        if (refused > 1 && clock.millis() - refusalLoggedMillis < REFUSED_LOG_MILLIS) {
            return;
        }
        refusalLoggedMillis = clock.millis();
        EventLog.write(Event.COPY_GIVEN, "kind", kind, "result", answer, "refused_total", refused);
    }

    /**
     * Returns how many copies this VM has given.
     *
     * @return the count since its start
     */
    public long given() {
        return given;
    }

    /**
     * Returns how many copies this VM has refused.
     *
     * @return the count since its start
     */
    public long refused() {
        return refused;
    }

    /**
     * Returns the memory that the copies take.
     *
     * @return the size; bytes
     */
    public long heldBytes() {
        return kept.values().stream().mapToLong(KeptCopy::heldBytes).sum();
    }
}
