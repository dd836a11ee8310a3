package org.fennelstage.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * An HTTP/1.1 server on one address.
 *
 * <p>Invariant: requests of one connection are answered in order, one at a time. Thread-safe.
 */
public final class HttpServer implements AutoCloseable {

    /** Reads of one connection in a row, so that none holds up the others; Netty's own default. */
    private static final int MAX_READS_PER_TURN = 16;

    /**
     * Reads a connection until it holds nothing more, so that its end is read together with the
     * request before it and not a turn of the event loop later. It costs one read a request.
     */
    private static final RecvByteBufAllocator UNTIL_NOTHING_IS_LEFT =
            new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_READS_PER_TURN);

    private final Channel listener;
    private final ChannelGroup connections;
    private final AtomicBoolean closing;

    private HttpServer(
            final Channel listener, final ChannelGroup connections, final AtomicBoolean closing) {
        this.listener = listener;
        this.connections = connections;
        this.closing = closing;
    }

    /**
     * Binds and serves without TLS.
     *
     * @param group the event loops
     * @param address where to listen; port 0 takes any free one
     * @param limits the bounds per connection
     * @param handler answers the requests
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static HttpServer start(
            final EventLoopGroup group,
            final InetSocketAddress address,
            final ServerLimits limits,
            final RequestHandler handler)
            throws IOException {
        return start(group, address, () -> limits, Optional::empty, handler);
    }

    /**
     * Binds and serves.
     *
     * @param group the event loops
     * @param address where to listen; port 0 takes any free one
     * @param limits the bounds per connection
     * @param tls asked at each new connection, so that renewed keys need no restart
     * @param handler answers the requests
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static HttpServer start(
            final EventLoopGroup group,
            final InetSocketAddress address,
            final Supplier<ServerLimits> limits,
            final Supplier<Optional<SslContext>> tls,
            final RequestHandler handler)
            throws IOException {
        Objects.requireNonNull(handler, "handler is null");
        final AtomicBoolean closing = new AtomicBoolean();
        final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        final ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RCVBUF_ALLOCATOR, UNTIL_NOTHING_IS_LEFT)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(final SocketChannel channel) {
                                        connections.add(channel);
                                        final ConnectionHandler connection =
                                                new ConnectionHandler(handler, closing::get);
                                        build(channel, limits.get(), tls.get(), connection);
                                    }
                                });
        final var bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        return new HttpServer(bound.channel(), connections, closing);
    }

    /**
     * Returns the port it listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * From now on, closes each connection after the response to its present or next request, and
     * says so in the response. Connections on which nothing is asked stay open.
     */
    public void closeAfterResponses() {
        closing.set(true);
    }

    /**
     * Returns how many connections are open.
     *
     * @return the count
     */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Refuses new connections and closes those on which nothing is asked. Others close after their
     * response if {@link #closeAfterResponses} was called. Does not block.
     */
    public void closeIdle() {
        listener.close();
        connections.forEach(HttpServer::closeIfIdle);
    }

    private static void closeIfIdle(final Channel connection) {
        connection
                .eventLoop()
                .execute(
                        () -> {
                            final ConnectionHandler handler =
                                    connection.pipeline().get(ConnectionHandler.class);
                            final HeaderTimeout reading =
                                    connection.pipeline().get(HeaderTimeout.class);
                            final boolean busy =
                                    handler == null || handler.isBusy() || reading.isReading();
                            if (!busy) {
                                connection.close();
                            }
                        });
    }

    /** Stops accepting connections; open ones go on. */
    public void stopAccepting() {
        listener.close().awaitUninterruptibly();
    }

    /** Stops accepting and closes all connections. */
    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
    }

    private static void build(
            final SocketChannel channel,
            final ServerLimits limits,
            final Optional<SslContext> tls,
            final ConnectionHandler handler) {
        final HeaderTimeout headerTimeout = new HeaderTimeout(limits.headerTimeout());
        tls.ifPresent(c -> channel.pipeline().addLast(c.newHandler(channel.alloc())));
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(
                                0, 0, limits.idleTimeout().toMillis(), TimeUnit.MILLISECONDS))
                .addLast(headerTimeout)
                .addLast(new StrictRequestDecoder(limits))
                .addLast(headerTimeout.headListener())
                .addLast(new HttpResponseEncoder())
                .addLast(new BodyAggregator(limits.maxBodyBytes()))
                .addLast(handler);
    }
}
