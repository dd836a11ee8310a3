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
 * Idle connections by address, the last used first.
 *
 * <p>Invariant: a connection handed out is open, was idle no longer than the caller allows, and is
 * not close to the end of the time for which its server promised to keep it; after a call no more
 * are kept than it allows, and none that has rested for longer than it allows: those would count
 * against what the server accepts and be of no use. Confined to one event loop.
 */
final class ConnectionPool {

    /**
     * Share of the server's Keep-Alive time after which a connection is no longer used. A request
     * that crosses the server's close is lost without an answer; half leaves more than any delay on
     * the way.
     */
    private static final double USED_SHARE_OF_KEEP_ALIVE = 0.5;

    private record Idle(Channel channel, long sinceNanos, long usableNanos) {}

    private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();

    Optional<Channel> take(final InetSocketAddress address, final Duration maxIdle) {
        final Deque<Idle> connections = idle.get(address);
        while (connections != null && !connections.isEmpty()) {
            final Idle newest = connections.pollLast();
            final long idleNanos = System.nanoTime() - newest.sinceNanos();
            if (newest.channel().isActive()
                    && idleNanos < newest.usableNanos()
                    && idleNanos < maxIdle.toNanos()) {
                return Optional.of(newest.channel());
            }
            newest.channel().close();
        }
        return Optional.empty();
    }

    void put(
            final InetSocketAddress address,
            final Channel channel,
            final Optional<Duration> keptFor,
            final ConnectionPolicy use) {
        final Deque<Idle> connections = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        closeRested(connections, use.maxIdleTime());
        if (!channel.isActive() || connections.size() >= use.maxIdleConnections()) {
            channel.close();
            return;
        }
        final long usable =
                keptFor.map(d -> (long) (d.toNanos() * USED_SHARE_OF_KEEP_ALIVE))
                        .orElse(Long.MAX_VALUE);
        connections.addLast(new Idle(channel, System.nanoTime(), usable));
    }

    private static void closeRested(final Deque<Idle> connections, final Duration maxIdle) {
        final long now = System.nanoTime();
        while (!maxIdle.isZero()
                && !connections.isEmpty()
                && now - connections.peekFirst().sinceNanos() >= maxIdle.toNanos()) {
            connections.pollFirst().channel().close();
        }
    }

    void closeAll(final InetSocketAddress address) {
        final Deque<Idle> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(i -> i.channel().close());
        }
    }

    void forget(final InetSocketAddress address, final Channel channel) {
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
