package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.fleet.RateLimit;
import org.fennelstage.time.MonotonicClock;

/**
 * Reports the rate limits of backend servers to all other VMs, since the limit applies to the
 * requests of all VMs together.
 *
 * <p>Invariant: for each backend server, at most one message with a limit is sent to each VM in any
 * {@link #MIN_INTERVAL_MILLIS}, unless the limit ended in between. Not thread-safe; confined to the
 * event loop.
 */
final class LimitReports {

    /**
     * Shortest time between two reports of a limit that continues; milliseconds. Receivers keep a
     * limit for several times as long.
     */
    static final long MIN_INTERVAL_MILLIS = 1_000;

    private final Supplier<List<InetSocketAddress>> peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final MonotonicClock clock;
    private final Map<Incarnation, Long> sentMillis = new HashMap<>();

    LimitReports(
            final Supplier<List<InetSocketAddress>> peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final MonotonicClock clock) {
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Handles what a backend server reported in a response.
     *
     * @param server the backend server
     * @param limit its limit, empty if it has ended
     */
    void onLimit(final Incarnation server, final Optional<RateLimit> limit) {
        final long now = clock.millis();
        sentMillis.values().removeIf(sent -> now - sent >= MIN_INTERVAL_MILLIS);
        if (limit.isEmpty()) {
            sentMillis.remove(server);
        } else if (sentMillis.putIfAbsent(server, now) != null) {
            return;
        }
        send.accept(new PeerMessage.Limit(server, limit), peers.get());
    }
}
