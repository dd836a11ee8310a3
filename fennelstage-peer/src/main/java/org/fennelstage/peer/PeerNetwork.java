package org.fennelstage.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.fennelstage.id.VmId;
import org.fennelstage.peer.generated.Envelope;

/**
 * Sends and receives peer messages as protobuf over TCP.
 *
 * <p>Invariants: at most one outgoing connection per address, opened on demand; a request completes
 * with its reply, or empty after a timeout or connection failure. The peer may have processed a
 * request that completed empty. Thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_QUEUED_BYTES = 1024 * 1024;
    private static final System.Logger LOG = System.getLogger(PeerNetwork.class.getName());

    private final EventLoopGroup group;
    private final VmId self;
    private final PeerTls tls;
    private final Reachability reachability;
    private final PeerHandler handler;
    private final Map<InetSocketAddress, ChannelFuture> outgoing = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Optional<Envelope>>> pending =
            new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelation = new AtomicLong();
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final LongAdder messagesSent = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private Channel listener;

    private PeerNetwork(
            final EventLoopGroup group,
            final VmId self,
            final PeerTls tls,
            final Reachability reachability,
            final PeerHandler handler) {
        this.group = Objects.requireNonNull(group, "group is null");
        this.self = Objects.requireNonNull(self, "self is null");
        this.tls = Objects.requireNonNull(tls, "tls is null");
        this.reachability = Objects.requireNonNull(reachability, "reachability is null");
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    /**
     * Binds the listener and starts to receive messages.
     *
     * @param group the event loops
     * @param self the id of this VM
     * @param address the address to listen on; port 0 selects a free port
     * @param tls the TLS contexts
     * @param reachability which addresses may be connected to
     * @param handler processes received messages
     * @return the running network
     * @throws IOException if the address cannot be bound
     */
    public static PeerNetwork start(
            final EventLoopGroup group,
            final VmId self,
            final InetSocketAddress address,
            final PeerTls tls,
            final Reachability reachability,
            final PeerHandler handler)
            throws IOException {
        final PeerNetwork network = new PeerNetwork(group, self, tls, reachability, handler);
        network.bind(address);
        return network;
    }

    /**
     * Returns the port of the listener.
     *
     * @return the TCP port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    public long messagesSent() {
        return messagesSent.sum();
    }

    /**
     * Returns the total size of all messages sent, without the overhead of framing, TCP and TLS.
     *
     * @return the size in bytes
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Sends a message that expects no reply.
     *
     * @param to the address of the peer
     * @param body the message
     */
    public void send(final InetSocketAddress to, final Envelope.Builder body) {
        write(to, body.setSender(self.value()).build());
    }

    /**
     * Sends a message and returns a future of its reply.
     *
     * @param to the address of the peer
     * @param body the message
     * @param timeout the maximum time to wait for the reply
     * @return a future that completes with the reply, or empty after the timeout or a connection
     *     failure
     */
    public CompletableFuture<Optional<Envelope>> request(
            final InetSocketAddress to, final Envelope.Builder body, final Duration timeout) {
        final long correlation = lastCorrelation.incrementAndGet();
        final CompletableFuture<Optional<Envelope>> reply = new CompletableFuture<>();
        pending.put(correlation, reply);
        group.next()
                .schedule(
                        () -> complete(correlation, Optional.empty()),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        write(to, body.setCorrelation(correlation).setSender(self.value()).build());
        return reply;
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        accepted.close();
        outgoing.values().forEach(f -> f.channel().close());
    }

    private void bind(final InetSocketAddress address) throws IOException {
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(final SocketChannel channel) {
                                        accepted.add(channel);
                                        initPipeline(channel, tls.server().get());
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen for peers on " + address, bound.cause());
        }
        listener = bound.channel();
    }

    private void write(final InetSocketAddress to, final Envelope message) {
        if (!reachability.permits(to)) {
            complete(message.getCorrelation(), Optional.empty());
            return;
        }
        final ChannelFuture connected =
                outgoing.compute(to, (a, f) -> isReusable(f) ? f : connect(a));
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        writeTo(connected.channel(), message);
                    } else {
                        outgoing.remove(to, connected);
                        complete(message.getCorrelation(), Optional.empty());
                    }
                });
    }

    private static boolean isReusable(final ChannelFuture connected) {
        return connected != null && (!connected.isDone() || connected.channel().isActive());
    }

    private ChannelFuture connect(final InetSocketAddress to) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(final SocketChannel channel) {
                                initPipeline(channel, tls.client().get());
                            }
                        })
                .connect(to);
    }

    private void writeTo(final Channel channel, final Envelope message) {
        // Bounds the memory used for a peer that does not read. The next digest comparison or a
        // retry by the sender makes up for a dropped message.
        if (channel.unsafe().outboundBuffer() == null
                || channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_QUEUED_BYTES) {
            return;
        }
        messagesSent.increment();
        bytesSent.add(message.getSerializedSize());
        channel.writeAndFlush(message);
    }

    private void initPipeline(final SocketChannel channel, final Optional<SslContext> context) {
        context.ifPresent(c -> channel.pipeline().addLast(c.newHandler(channel.alloc())));
        channel.pipeline()
                .addLast(new LimitedFrameDecoder())
                .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(new InboundHandler());
    }

    private void complete(final long correlation, final Optional<Envelope> reply) {
        final CompletableFuture<Optional<Envelope>> waiting = pending.remove(correlation);
        if (waiting != null) {
            waiting.complete(reply);
        }
    }

    private final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {
        @Override
        protected void channelRead0(final ChannelHandlerContext context, final Envelope message) {
            if (message.getReply()) {
                complete(message.getCorrelation(), Optional.of(message));
                return;
            }
            handler.handle(message, body -> reply(context.channel(), message, body));
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            LOG.log(System.Logger.Level.DEBUG, "peer connection failed", cause);
            context.close();
        }

        private void reply(
                final Channel channel, final Envelope request, final Envelope.Builder body) {
            if (request.getCorrelation() == 0) {
                return;
            }
            body.setCorrelation(request.getCorrelation()).setReply(true).setSender(self.value());
            writeTo(channel, body.build());
        }
    }
}
