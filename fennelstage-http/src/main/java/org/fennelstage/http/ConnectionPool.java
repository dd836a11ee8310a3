package org.fennelstage.http;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Idle connections by address; the most recently used one is taken first.
 *
 * <p>Invariant: a connection is handed out only if it is open, has been idle for no longer than the
 * caller allows, and is not near the end of its server's Keep-Alive time; after a connection was
 * returned, the address has no more idle connections, and none idle for longer, than the call's
 * {@link ConnectionPolicy} allows, since they would count against the server's connection limit.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ConnectionPool {

    /**
     * Fraction of the server's Keep-Alive time during which a connection is reused. A request sent
     * while the server closes the connection is lost without a response; the margin covers network
     * delays.
     */
    private static final double USABLE_KEEP_ALIVE_FRACTION = 0.5;

    private record Idle(Channel channel, long idleSinceNanos, long usableNanos) {}

    private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();

    Optional<Channel> take(final InetSocketAddress address, final Duration maxIdleTime) {
        final Deque<Idle> connections = idle.get(address);
        while (connections != null && !connections.isEmpty()) {
            final Idle newest = connections.pollLast();
            final long idleNanos = System.nanoTime() - newest.idleSinceNanos();
            if (newest.channel().isActive()
                    && idleNanos < newest.usableNanos()
                    && idleNanos < maxIdleTime.toNanos()) {
                return Optional.of(newest.channel());
            }
            newest.channel().close();
        }
        return Optional.empty();
    }

    void put(
            final InetSocketAddress address,
            final Channel channel,
            final Optional<Duration> keepAlive,
            final ConnectionPolicy policy) {
        final Deque<Idle> connections = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        closeExpired(connections, policy.maxIdleTime());
        if (!channel.isActive() || connections.size() >= policy.maxIdleConnections()) {
            channel.close();
            return;
        }
        final long usableNanos =
                keepAlive
                        .map(d -> (long) (d.toNanos() * USABLE_KEEP_ALIVE_FRACTION))
                        .orElse(Long.MAX_VALUE);
        connections.addLast(new Idle(channel, System.nanoTime(), usableNanos));
    }

    private static void closeExpired(final Deque<Idle> connections, final Duration maxIdleTime) {
        final long now = System.nanoTime();
        while (!maxIdleTime.isZero()
                && !connections.isEmpty()
                && now - connections.peekFirst().idleSinceNanos() >= maxIdleTime.toNanos()) {
            connections.pollFirst().channel().close();
        }
    }

    void closeAll(final InetSocketAddress address) {
        final Deque<Idle> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(i -> i.channel().close());
        }
    }

    void remove(final InetSocketAddress address, final Channel channel) {
        final Deque<Idle> connections = idle.get(address);
        if (connections == null) {
            return;
        }
        connections.removeIf(i -> i.channel() == channel);
        if (connections.isEmpty()) {
            idle.remove(address);
        }
    }
}
