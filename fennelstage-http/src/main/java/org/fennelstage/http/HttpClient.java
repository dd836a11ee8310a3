package org.fennelstage.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/**
 * An HTTP/1.1 client with a connection pool.
 *
 * <p>A request and all calls made for it share an event loop, so that their state needs no locks.
 *
 * <p>Not thread-safe; confined to {@link #eventLoop()}.
 */
public final class HttpClient {

    private static final Set<HttpMethod> METHODS_WITHOUT_BODY =
            Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE);

    /**
     * Time without traffic before the first TCP keep-alive probe, and between probes. A server
     * without power or behind a network partition sends no reset; with these values the operating
     * system closes the connection after about three seconds instead of the call's timeout.
     */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private static final ChannelOption<Integer> KEEP_ALIVE_IDLE =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);
    private static final ChannelOption<Integer> KEEP_ALIVE_INTERVAL =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> KEEP_ALIVE_COUNT =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    private final EventLoop loop;
    private final SharedMemory memory;
    private final ConnectionPool pool = new ConnectionPool();
    private long connectionsOpened;

    /**
     * Creates a client.
     *
     * @param loop the event loop that runs it
     */
    public HttpClient(final EventLoop loop) {
        this(loop, SharedMemory.UNSHARED);
    }

    /**
     * Creates a client whose collected responses share memory with others.
     *
     * @param loop the event loop that runs it
     * @param memory the memory
     */
    public HttpClient(final EventLoop loop, final SharedMemory memory) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.memory = Objects.requireNonNull(memory, "memory is null");
    }

    public EventLoop eventLoop() {
        return loop;
    }

    /**
     * Returns the number of connections that this client has opened.
     *
     * @return the number of connections
     */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /**
     * Closes the idle connections to an address. After a server stopped responding, a call on an
     * old connection would wait for its timeout, while opening a new connection fails quickly.
     *
     * @param address the address
     */
    public void closeIdle(final InetSocketAddress address) {
        pool.closeAll(address);
    }

    /**
     * Sends a request.
     *
     * @param address the server's address
     * @param request the request; ownership passes to this method
     * @param options the options of this call
     * @param listener receives the response
     * @return the call, to cancel or pause it
     */
    public Call send(
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final ResponseListener listener) {
        final Call call = new Call();
        send(address, request, options, call, listener);
        return call;
    }

    /**
     * Sends a request and keeps its response until it is whole. A response that is too large to be
     * kept is a failure of the call and closes its connection.
     *
     * @param address the server's address
     * @param request the request; ownership passes to this method
     * @param options the options of this call
     * @param onResponse receives the response
     * @param onFailure receives the failure
     * @return the call, to cancel it
     */
    public Call collect(
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final Consumer<Responses.FullResponse> onResponse,
            final Consumer<CallFailure> onFailure) {
        final Call call = new Call();
        final CollectedResponse collected =
                new CollectedResponse(call, memory, onResponse, onFailure);
        send(address, request, options, call, collected);
        return call;
    }

    private void send(
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final Call call,
            final ResponseListener listener) {
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        final int length = request.content().readableBytes();
        if (length > 0 || !METHODS_WITHOUT_BODY.contains(request.method())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        final Optional<Channel> pooled =
                options.connection().maxIdleTime().isZero()
                        ? Optional.empty()
                        : pool.take(address, options.connection().maxIdleTime());
        pooled.ifPresentOrElse(
                channel -> write(channel, address, request, options, call, listener),
                () -> connect(address, request, options, call, listener));
    }

    /**
     * Checks whether a server accepts connections at an address. An accepted connection is kept for
     * the next call.
     *
     * @param address the address
     * @param timeout the connect timeout
     * @param policy how long the connection must stay open, and whether it is kept
     * @param result receives the result
     */
    public void probe(
            final InetSocketAddress address,
            final Duration timeout,
            final ConnectionPolicy policy,
            final Consumer<ProbeResult> result) {
        final long dueNanos = System.nanoTime() + timeout.toNanos();
        final ChannelFuture connected = open(address, timeout);
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        final Channel opened = connected.channel();
                        loop.schedule(
                                () -> onProbeDelayElapsed(opened, address, policy, result),
                                policy.firstUseDelay().toNanos(),
                                TimeUnit.NANOSECONDS);
                        return;
                    }
                    result.accept(
                            wasPaused(f.cause(), dueNanos)
                                    ? ProbeResult.CLOSED
                                    : toProbeResult(f.cause()));
                });
    }

    private void onProbeDelayElapsed(
            final Channel opened,
            final InetSocketAddress address,
            final ConnectionPolicy policy,
            final Consumer<ProbeResult> result) {
        final boolean accepted = opened.isActive();
        pool.put(address, opened, Optional.empty(), policy);
        result.accept(accepted ? ProbeResult.ACCEPTED : ProbeResult.CLOSED);
    }

    private static ProbeResult toProbeResult(final Throwable cause) {
        if (wasResetWhileConnecting(cause)) {
            return ProbeResult.CLOSED;
        }
        final boolean refused =
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return refused ? ProbeResult.REFUSED : ProbeResult.NO_RESPONSE;
    }

    /**
     * Returns whether the server accepted the connection and reset it before the connect completed
     * here. Such a server is treated like one that resets the connection a moment later, not as
     * unreachable.
     */
    private static boolean wasResetWhileConnecting(final Throwable cause) {
        return cause instanceof SocketException
                && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException);
    }

    /**
     * Returns whether a connect timeout was noticed so late that this process was paused meanwhile.
     * The server may have accepted the connection, so that the timeout says nothing about it.
     */
    private static boolean wasPaused(final Throwable cause, final long dueNanos) {
        return cause instanceof ConnectTimeoutException
                && System.nanoTime() - dueNanos >= EventLoopPause.MIN_DELAY.toNanos();
    }

    private ChannelFuture open(final InetSocketAddress address, final Duration timeout) {
        final ChannelFuture connected =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(ClientSocketChannel::new)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(KEEP_ALIVE_IDLE, KEEP_ALIVE_SECONDS)
                        .option(KEEP_ALIVE_INTERVAL, KEEP_ALIVE_SECONDS)
                        .option(KEEP_ALIVE_COUNT, KEEP_ALIVE_PROBES)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                        .handler(
                                new ChannelInitializer<ClientSocketChannel>() {
                                    @Override
                                    protected void initChannel(final ClientSocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new StrictResponseDecoder())
                                                .addLast(new HttpRequestEncoder())
                                                .addLast(new ResponseHandler(channel::hasFailed));
                                    }
                                })
                        .connect(address);
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        connectionsOpened++;
                        final Channel opened = connected.channel();
                        opened.closeFuture().addListener(c -> pool.remove(address, opened));
                    }
                });
        return connected;
    }

    private void connect(
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final Call call,
            final ResponseListener listener) {
        final long dueNanos = System.nanoTime() + options.connectTimeout().toNanos();
        final ChannelFuture connected = open(address, options.connectTimeout());
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        writeAfterDelay(
                                connected.channel(), address, request, options, call, listener);
                        return;
                    }
                    failNotSent(
                            wasResetWhileConnecting(f.cause()) || wasPaused(f.cause(), dueNanos)
                                    ? CallFailure.Phase.CONNECTION_REJECTED
                                    : CallFailure.Phase.NOT_SENT,
                            "cannot connect to " + address,
                            request,
                            call,
                            listener);
                });
    }

    /**
     * Writes the request after the delay that the call's {@link ConnectionPolicy} sets for new
     * connections. A server at its connection limit may accept a connection and reset it at once;
     * it would be unknown whether a request that was already sent has run.
     */
    private void writeAfterDelay(
            final Channel opened,
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final Call call,
            final ResponseListener listener) {
        final Duration delay = options.connection().firstUseDelay();
        if (delay.isZero()) {
            write(opened, address, request, options, call, listener);
            return;
        }
        loop.schedule(
                () -> {
                    if (opened.isActive()) {
                        write(opened, address, request, options, call, listener);
                    } else {
                        failNotSent(
                                CallFailure.Phase.CONNECTION_REJECTED,
                                "connection rejected by " + address,
                                request,
                                call,
                                listener);
                    }
                },
                delay.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private static void failNotSent(
            final CallFailure.Phase phase,
            final String detail,
            final FullHttpRequest request,
            final Call call,
            final ResponseListener listener) {
        request.release();
        if (!call.isCancelled()) {
            listener.onFailure(new CallFailure(phase, false, detail));
        }
    }

    private void write(
            final Channel channel,
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final Call call,
            final ResponseListener listener) {
        if (call.isCancelled()) {
            request.release();
            pool.put(address, channel, Optional.empty(), options.connection());
            return;
        }
        call.attach(channel);
        final ResponseHandler handler = channel.pipeline().get(ResponseHandler.class);
        final boolean head = HttpMethod.HEAD.equals(request.method());
        channel.pipeline().get(StrictResponseDecoder.class).expect(head);
        handler.begin(
                call,
                listener,
                options,
                request.content().isReadable(),
                keepAlive -> pool.put(address, channel, keepAlive, options.connection()));
        call.onWritten();
        channel.writeAndFlush(request)
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                handler.requestWritten();
                            }
                        });
    }
}
