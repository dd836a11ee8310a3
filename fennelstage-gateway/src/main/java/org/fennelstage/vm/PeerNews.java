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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fennelstage.fleet.Incarnation;
import org.fennelstage.log.Event;
import org.fennelstage.log.EventLog;
import org.fennelstage.time.MonotonicClock;

/**
 * Tells the other VMs of the data centre which workers this VM could not reach, and hears it from
 * them.
 *
 * <p>One datagram a VM with the worker's id and birth, text of one line: news that is lost costs a
 * VM one request that finds out by itself, so nothing is acknowledged or sent again. Text, since a
 * message of one field does not pay for loading another library at every start. Confined to the
 * event loop.
 */
final class PeerNews {

    /** The longest message taken: a datagram that no link divides. */
    private static final int MAX_BYTES = 1_400;

    /** How often the same worker is told of at most; milliseconds. The word counts for longer. */
    private static final long REPEAT_MILLIS = 1_000;

    private final Channel channel;
    private final Supplier<List<InetSocketAddress>> near;
    private final MonotonicClock clock;
    private final Map<Incarnation, Long> toldMillis = new HashMap<>();

    private PeerNews(
            final Channel channel,
            final Supplier<List<InetSocketAddress>> near,
            final MonotonicClock clock) {
        this.channel = channel;
        this.near = near;
        this.clock = clock;
    }

    /**
     * Binds and listens.
     *
     * @param loop runs it
     * @param own where this VM listens for datagrams
     * @param near where the others of the data centre do
     * @param clock the clock
     * @param listener takes what others tell, on the loop
     * @return the running exchange
     * @throws IOException if the address cannot be bound
     */
    static PeerNews start(
            final EventLoop loop,
            final InetSocketAddress own,
            final Supplier<List<InetSocketAddress>> near,
            final MonotonicClock clock,
            final Consumer<PeerMessage> listener)
            throws IOException {
        Objects.requireNonNull(near, "near is null");
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
        return new PeerNews(bound.channel(), near, clock);
    }

    /** Tells the others of the data centre that this VM could not reach a worker. */
    void tell(final Incarnation server) {
        final long now = clock.millis();
        toldMillis.values().removeIf(told -> now - told >= REPEAT_MILLIS);
        if (toldMillis.putIfAbsent(server, now) == null) {
            tell(new PeerMessage.Unreachable(server), near.get());
        }
    }

    /** Tells some VMs something. */
    void tell(final PeerMessage message, final List<InetSocketAddress> to) {
        final byte[] text = message.text().getBytes(StandardCharsets.UTF_8);
        if (text.length > MAX_BYTES) {
            return;
        }
        for (final InetSocketAddress other : to) {
            channel.write(new DatagramPacket(Unpooled.wrappedBuffer(text), other));
        }
        channel.flush();
    }

    /** Takes what others tell. */
    private static final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {

        private final Consumer<PeerMessage> listener;

        private Reader(final Consumer<PeerMessage> listener) {
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
            PeerMessage.parse(text).ifPresent(listener);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            // A VM that is gone answers datagrams with "port unreachable"; the next message may
            // arrive, so the channel stays open.
            EventLog.write(Event.INTERNAL_ERROR, "task", "news of other VMs", "error", cause);
        }
    }
}
