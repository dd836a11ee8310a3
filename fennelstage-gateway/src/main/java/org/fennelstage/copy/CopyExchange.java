package org.fennelstage.copy;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.store.Follower;
import org.fennelstage.store.StoreKind;

/**
 * Both sides of state copies at one VM: those that it gives and those that it asks for. Without the
 * mechanism nothing is kept, given or asked for.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class CopyExchange {

    /** The two sides. */
    private record Sides(StateCopies given, CopyCollector asked) {}

    private final Optional<Sides> sides;

    private CopyExchange(final Optional<Sides> sides) {
        this.sides = sides;
    }

    /**
     * Returns an exchange.
     *
     * @param given the copies that this VM gives
     * @param asked the copies that this VM asks for
     * @return the exchange
     */
    public static CopyExchange of(final StateCopies given, final CopyCollector asked) {
        Objects.requireNonNull(given, "given is null");
        Objects.requireNonNull(asked, "asked is null");
        return new CopyExchange(Optional.of(new Sides(given, asked)));
    }

    /**
     * Returns an exchange that does nothing.
     *
     * @return the exchange
     */
    public static CopyExchange disabled() {
        return new CopyExchange(Optional.empty());
    }

    /**
     * Includes a kind, before its follower is started.
     *
     * @param <T> the type that objects decode to
     * @param kind the kind
     * @param follower its follower
     * @return the follower
     */
    public <T> Follower<T> include(final StoreKind<T> kind, final Follower<T> follower) {
        sides.ifPresent(
                s -> {
                    follower.keepTextsIn(s.given().keeper(kind));
                    s.asked().add(kind, follower);
                });
        return follower;
    }

    /**
     * Handles a call of another VM to the store.
     *
     * @param exchange the call
     * @param relay relays calls to the store
     */
    public void handle(final ServerExchange exchange, final RelayHandler relay) {
        if (sides.isPresent()) {
            sides.get().given().handle(exchange, relay);
        } else {
            relay.handle(exchange);
        }
    }

    /**
     * Records a VM from which a peer message has arrived.
     *
     * @param sender its peer address
     */
    public void onSender(final InetSocketAddress sender) {
        sides.ifPresent(s -> s.asked().onSender(sender));
    }

    /**
     * Sets how this VM announces that it gives copies; by default it does not.
     *
     * @param others the number of VMs that receive an announcement
     * @param announce sends one to each of them
     */
    public void announceThrough(final IntSupplier others, final Runnable announce) {
        sides.ifPresent(s -> s.given().announceThrough(others, announce));
    }

    /** Performs what is due on both sides. To be called several times a second. */
    public void runPeriodicTask() {
        sides.ifPresent(
                s -> {
                    s.asked().askDue();
                    s.given().runPeriodicTask();
                });
    }

    /**
     * Returns how many copies this VM has used.
     *
     * @return the count since its start
     */
    public long used() {
        return sides.map(s -> s.asked().used()).orElse(0L);
    }

    /**
     * Returns how many copies this VM has given.
     *
     * @return the count since its start
     */
    public long given() {
        return sides.map(s -> s.given().given()).orElse(0L);
    }

    /**
     * Returns how many copies this VM has refused.
     *
     * @return the count since its start
     */
    public long refused() {
        return sides.map(s -> s.given().refused()).orElse(0L);
    }

    /**
     * Returns the memory that the copies to be given take.
     *
     * @return the size; bytes
     */
    public long heldBytes() {
        return sides.map(s -> s.given().heldBytes()).orElse(0L);
    }
}
