package org.fennelstage.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * An HTTP/1.1 server on one address.
 *
 * <p>Invariant: requests of one connection are handled in order, one at a time. Thread-safe.
 */
public final class HttpServer implements AutoCloseable {

    /** Connections that are accepted at a time, before open ones are read again. */
    static final int MAX_ACCEPTED = 16;

    /** Bounds the reads of one connection in a row, so that it does not delay the others. */
    private static final int MAX_CONSECUTIVE_READS = 16;

    /**
     * Reads until the socket has no more data, so that a close by the caller is read in the same
     * event loop iteration as the request before it. {@link ConnectionHandler} relies on this.
     */
    private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
            new AdaptiveRecvByteBufAllocator()
                    .respectMaybeMoreData(false)
                    .maxMessagesPerRead(MAX_CONSECUTIVE_READS);

    private final Channel listener;
    private final ChannelGroup connections;
    private final AtomicBoolean closing;
    private final AtomicReference<BooleanSupplier> refusing;
    private final AcceptQueueMonitor acceptQueue;
    private final AtomicInteger unwrittenResponses;
    private final AtomicLong refusedConnections;

    private HttpServer(
            final Channel listener,
            final ChannelGroup connections,
            final AtomicBoolean closing,
            final AtomicReference<BooleanSupplier> refusing,
            final AcceptQueueMonitor acceptQueue,
            final AtomicInteger unwrittenResponses,
            final AtomicLong refusedConnections) {
        this.listener = listener;
        this.connections = connections;
        this.closing = closing;
        this.refusing = refusing;
        this.acceptQueue = acceptQueue;
        this.unwrittenResponses = unwrittenResponses;
        this.refusedConnections = refusedConnections;
    }

    /**
     * Starts a server without TLS.
     *
     * @param group the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @param limits the limits per connection
     * @param handler handles the requests
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
     * Starts a server whose connections do not share memory.
     *
     * @param group the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @param limits the limits per connection; called for each new connection
     * @param tls called for each new connection, so that renewed keys need no restart
     * @param handler handles the requests
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
        return start(group, address, limits, tls, SharedMemory.UNSHARED, handler);
    }

    /**
     * Starts a server.
     *
     * @param group the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @param limits the limits per connection; called for each new connection
     * @param tls called for each new connection, so that renewed keys need no restart
     * @param bodies the memory for the bodies of requests that have no complete response yet
     * @param handler handles the requests
     * @return the running server
     * @throws IOException if the address cannot be bound
     */
    public static HttpServer start(
            final EventLoopGroup group,
            final InetSocketAddress address,
            final Supplier<ServerLimits> limits,
            final Supplier<Optional<SslContext>> tls,
            final SharedMemory bodies,
            final RequestHandler handler)
            throws IOException {
        Objects.requireNonNull(handler, "handler is null");
        final AtomicBoolean closing = new AtomicBoolean();
        final AtomicReference<BooleanSupplier> refusing = new AtomicReference<>(() -> false);
        final AcceptQueueMonitor acceptQueue = new AcceptQueueMonitor(MAX_ACCEPTED);
        final AtomicInteger unwrittenResponses = new AtomicInteger();
        final AtomicLong refusedConnections = new AtomicLong();
        final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        final ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channelFactory(ServerSocketListener::new)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(MAX_ACCEPTED))
                        .handler(acceptQueue)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.RCVBUF_ALLOCATOR, READ_UNTIL_EMPTY)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(final SocketChannel channel) {
                                        if (refusing.get().getAsBoolean()) {
                                            refusedConnections.incrementAndGet();
                                            refuse(channel, tls.get().isPresent());
                                            return;
                                        }
                                        connections.add(channel);
                                        final ConnectionHandler connection =
                                                new ConnectionHandler(
                                                        handler, closing::get, unwrittenResponses);
                                        initPipeline(
                                                channel,
                                                limits.get(),
                                                tls.get(),
                                                bodies,
                                                connection);
                                    }
                                });
        final var bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        return new HttpServer(
                bound.channel(),
                connections,
                closing,
                refusing,
                acceptQueue,
                unwrittenResponses,
                refusedConnections);
    }

    /**
     * Returns the port the server listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Refuses the first request of each new connection while a condition holds, without decoding
     * it; encrypted connections are closed unread.
     *
     * @param condition called for each new connection, on its event loop
     */
    public void refuseConnectionsWhile(final BooleanSupplier condition) {
        refusing.set(Objects.requireNonNull(condition, "condition is null"));
    }

    /**
     * Returns how many new connections were refused since the start.
     *
     * @return the number of connections
     */
    public long refusedConnections() {
        return refusedConnections.get();
    }

    /**
     * Returns for how long new connections have been waiting to be accepted.
     *
     * @return the time since none was waiting
     */
    public Duration acceptDelay() {
        return acceptQueue.delay();
    }

    /**
     * Returns whether new connections are waiting to be accepted.
     *
     * @return true if more were waiting than could be accepted at a time
     */
    public boolean hasWaitingConnections() {
        return acceptQueue.isWaiting();
    }

    /**
     * From now on, closes each connection after the response to its current or next request, with
     * {@code Connection: close}. Idle connections stay open.
     */
    public void closeAfterResponses() {
        closing.set(true);
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections
     */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Returns the number of responses that have ended and are not wholly written to the sockets of
     * their callers, who may read slowly.
     *
     * @return the number of responses
     */
    public int unwrittenResponses() {
        return unwrittenResponses.get();
    }

    /**
     * Closes idle connections, and stops accepting new ones once none is waiting to be accepted,
     * since its request may have been sent long ago; to be called until then. Other connections
     * close after their responses if {@link #closeAfterResponses} was called, and refuse what is
     * read behind their requests from now on. Does not block.
     */
    public void closeIdle() {
        if (!acceptQueue.isWaiting()) {
            listener.close();
        }
        connections.forEach(HttpServer::closeIfIdle);
    }

    /** Closes a connection that is idle, after time to read a request that has just arrived. */
    private static void closeIfIdle(final Channel connection) {
        connection
                .eventLoop()
                .schedule(
                        () -> closeUnlessBusy(connection),
                        EventLoopPause.READ_TIME.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private static void closeUnlessBusy(final Channel connection) {
        final ConnectionHandler handler = connection.pipeline().get(ConnectionHandler.class);
        final boolean busy = handler == null || handler.isBusy() || isReading(connection);
        if (!busy) {
            connection.close();
        } else if (handler != null) {
            handler.refuseFurtherRequests();
        }
    }

    /**
     * Returns the number of connections on which a part of a request has been read and no response
     * is due. To be called on the event loop of all connections.
     *
     * @return the number of connections
     */
    public int partialRequests() {
        return (int) connections.stream().filter(HttpServer::isPartialAlone).count();
    }

    private static boolean isPartialAlone(final Channel connection) {
        final ConnectionHandler handler = connection.pipeline().get(ConnectionHandler.class);
        return handler != null && !handler.isBusy() && isReading(connection);
    }

    private static boolean isReading(final Channel connection) {
        final HeaderTimeout headerTimeout = connection.pipeline().get(HeaderTimeout.class);
        return headerTimeout != null && headerTimeout.isReading();
    }

    /**
     * Refuses the requests of which a part has been read, as not run, in the order of requests. To
     * be called on the event loop of all connections.
     */
    public void refusePartialRequests() {
        for (final Channel connection : connections) {
            if (isReading(connection)) {
                connection.pipeline().fireUserEventTriggered(Refusal.STOPPING);
            }
        }
    }

    /** Stops accepting connections; open ones stay open. */
    public void stopAccepting() {
        listener.close().awaitUninterruptibly();
    }

    /** Stops accepting connections and closes all open ones. */
    @Override
    public void close() {
        stopAccepting();
        connections.close().awaitUninterruptibly();
    }

    private static void refuse(final SocketChannel channel, final boolean encrypted) {
        if (encrypted) {
            channel.close();
            return;
        }
        channel.pipeline()
                .addLast(new HttpResponseEncoder())
                .addLast(new UndecodedRefusal(Refusal.OVERLOADED));
    }

    private static void initPipeline(
            final SocketChannel channel,
            final ServerLimits limits,
            final Optional<SslContext> tls,
            final SharedMemory bodies,
            final ConnectionHandler handler) {
        final StrictRequestDecoder decoder = new StrictRequestDecoder(limits);
        final HeaderTimeout headerTimeout =
                new HeaderTimeout(limits.headerTimeout(), decoder::hasPartialHead);
        tls.ifPresent(c -> channel.pipeline().addLast(c.newHandler(channel.alloc())));
        channel.pipeline()
                .addLast(new CallerIdleTimeout(limits.idleTimeout()))
                .addLast(headerTimeout)
                .addLast(decoder)
                .addLast(headerTimeout.headListener())
                .addLast(new HttpResponseEncoder())
                .addLast(new BodyMemory(bodies))
                .addLast(new BodyAggregator(limits.maxBodyBytes()))
                .addLast(handler);
    }
}
