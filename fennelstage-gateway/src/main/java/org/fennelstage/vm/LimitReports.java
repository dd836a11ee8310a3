package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.List;
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
 * <p>Invariant: for each backend server, a message with a limit is sent only if neither this VM nor
 * another one has reported it within {@link #MIN_INTERVAL_MILLIS}, unless the limit ended in
 * between. So the messages about one server do not grow with the number of VMs that get its
 * responses. Not thread-safe; confined to the event loop.
 */
final class LimitReports {

    /**
     * Shortest time between two reports of a limit that continues; milliseconds. Receivers keep a
     * limit for several times as long.
     */
    static final long MIN_INTERVAL_MILLIS = 1_000;

    private final Supplier<List<InetSocketAddress>> peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;
    private final RecentReports recent;

    LimitReports(
            final Supplier<List<InetSocketAddress>> peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send,
            final MonotonicClock clock) {
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.recent = new RecentReports(clock, MIN_INTERVAL_MILLIS);
    }

    /**
     * Handles what a backend server reported in a response.
     *
     * @param server the backend server
     * @param limit its limit, empty if it has ended
     */
    void onLimit(final Incarnation server, final Optional<RateLimit> limit) {
        if (onReported(server, limit)) {
            send.accept(new PeerMessage.Limit(server, limit), peers.get());
        }
    }

    /**
     * Records that a limit was reported to all VMs, by this one or by another.
     *
     * @param server the backend server
     * @param limit its limit, empty if it has ended
     * @return whether this is news: an end, or a limit that was not reported recently
     */
    boolean onReported(final Incarnation server, final Optional<RateLimit> limit) {
        if (limit.isEmpty()) {
            recent.remove(server);
            return true;
        }
        return recent.add(server);
    }
}
