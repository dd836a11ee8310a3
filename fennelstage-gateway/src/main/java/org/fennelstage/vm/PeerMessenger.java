package org.fennelstage.vm;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * Sends and receives peer messages, one datagram each.
 *
 * <p>Messages are neither acknowledged nor sent again; {@link CrashBroadcast} repeats those that
 * must not be missed. They are lines of text, which need no serialization library. Not thread-safe;
 * confined to the event loop.
 */
final class PeerMessenger {

    /** Longest message sent or accepted, below the usual MTU; bytes. */
    static final int MAX_BYTES = 1_400;

    /**
     * Shortest time between two reports of the same backend server; milliseconds. Receivers act on
     * a report for longer.
     */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 1_000;

    /** Shortest time between two log lines about dropped messages; milliseconds. */
    private static final long MIN_LOG_INTERVAL_MILLIS = 1_000;

    private final Channel channel;
    private final Supplier<List<InetSocketAddress>> dataCentrePeers;
    private final MonotonicClock clock;
    private final RecentReports recentlyUnreachable;
    private long dropped;
    private long droppedLoggedMillis;

    private PeerMessenger(
            final Channel channel,
            final Supplier<List<InetSocketAddress>> dataCentrePeers,
            final MonotonicClock clock) {
        this.channel = channel;
        this.dataCentrePeers = dataCentrePeers;
        this.clock = clock;
        this.recentlyUnreachable = new RecentReports(clock, MIN_REPORT_INTERVAL_MILLIS);
    }

    /**
     * Binds and listens.
     *
     * @param loop runs it
     * @param own address of this VM for datagrams
     * @param dataCentrePeers addresses of the other VMs of the data centre
     * @param clock the clock
     * @param listener receives the messages of other VMs and the peer addresses of their senders,
     *     on the loop
     * @return the running messenger
     * @throws IOException if the address cannot be bound
     */
    static PeerMessenger start(
            final EventLoop loop,
            final InetSocketAddress own,
            final Supplier<List<InetSocketAddress>> dataCentrePeers,
            final MonotonicClock clock,
            final BiConsumer<PeerMessage, InetSocketAddress> listener)
            throws IOException {
        Objects.requireNonNull(dataCentrePeers, "dataCentrePeers is null");
        Objects.requireNonNull(listener, "listener is null");
        final ChannelFuture bound =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Reader(listener))
                        .bind(own)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for datagrams on " + own, bound.cause());
        }
        return new PeerMessenger(bound.channel(), dataCentrePeers, clock);
    }

    /**
     * Reports to the other VMs of the data centre that this VM could not reach a backend server.
     */
    void reportUnreachable(final Incarnation server) {
        if (recentlyUnreachable.add(server)) {
            send(new PeerMessage.Unreachable(server), dataCentrePeers.get());
        }
    }

    /** Sends a message; one that is too long is dropped and logged. */
    void send(final PeerMessage message, final List<InetSocketAddress> to) {
        final byte[] text = message.text().getBytes(StandardCharsets.UTF_8);
        if (text.length > MAX_BYTES) {
            onDropped(message, text.length);
            return;
        }
        for (final InetSocketAddress other : to) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(text), other));
        }
        channel.flush();
    }

    private void onDropped(final PeerMessage message, final int bytes) {
        dropped++;
        final long now = clock.millis();
        if (dropped > 1 && now - droppedLoggedMillis < MIN_LOG_INTERVAL_MILLIS) {
            return;
        }
        droppedLoggedMillis = now;
        EventLog.write(
                Event.MESSAGE_DROPPED,
                "message",
                message.getClass().getSimpleName(),
                "bytes",
                bytes,
                "dropped_total",
                dropped);
    }

    /** Parses received datagrams. */
    private static final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {

        private final BiConsumer<PeerMessage, InetSocketAddress> listener;

        private Reader(final BiConsumer<PeerMessage, InetSocketAddress> listener) {
            this.listener = listener;
        }

        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final DatagramPacket packet) {
            final ByteBuf content = packet.content();
            final String text =
                    content.readableBytes() > MAX_BYTES
                            ? ""
                            : content.toString(StandardCharsets.UTF_8);
            PeerMessage.parse(text).ifPresent(message -> listener.accept(message, packet.sender()));
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            // A message to a stopped VM causes ICMP "port unreachable". The channel stays open for
            // the next message.
            EventLog.write(Event.INTERNAL_ERROR, "task", "peer messages", "error", cause);
        }
    }
}
