package org.fennelstage.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
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
 * An HTTP/1.1 client with a pool of connections, bound to one event loop.
 *
 * <p>A request and all calls made for it share a loop, so their state needs no locks. Confined to
 * its event loop; {@link #send} may be called only there.
 */
public final class HttpClient {

    private static final Set<HttpMethod> BODILESS =
            Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE);

    /**
     * A peer without power or behind a partition sends no reset: a call on its connection would
     * wait for as long as its time-out. Probes of the operating system end the connection after
     * three seconds instead: one idle, and two probes a second apart without an answer.
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
    private final ConnectionPool idle = new ConnectionPool();
    private long connectionsOpened;

    /**
     * Creates a client.
     *
     * @param loop the event loop that runs it
     */
    public HttpClient(final EventLoop loop) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
    }

    public EventLoop eventLoop() {
        return loop;
    }

    /**
     * Returns how many connections this client has opened.
     *
     * @return the count
     */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /**
     * Closes the idle connections to an address. After a server went silent, they are dead without
     * a word: a call on one waits for bytes, where a new connection fails in a moment.
     *
     * @param address the address
     */
    public void closeIdle(final InetSocketAddress address) {
        idle.closeAll(address);
    }

    /**
     * Sends a request.
     *
     * @param address where to
     * @param request the request; ownership passes to this method
     * @param options how
     * @param listener hears the response
     * @return the call
     */
    public Call send(
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final ResponseListener listener) {
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        final int length = request.content().readableBytes();
        if (length > 0 || !BODILESS.contains(request.method())) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        final Call call = new Call();
        final Optional<Channel> kept =
                options.connection().maxIdleTime().isZero()
                        ? Optional.empty()
                        : idle.take(address, options.connection().maxIdleTime());
        kept.ifPresentOrElse(
                pooled -> write(pooled, address, request, options, call, listener),
                () -> connect(address, request, options, call, listener));
        return call;
    }

    /**
     * Finds out whether anybody listens at an address. A connection that is accepted is kept for
     * the next call.
     *
     * @param address the address
     * @param timeout the longest wait
     * @param use what becomes of the connection
     * @param result takes the end
     */
    public void probe(
            final InetSocketAddress address,
            final Duration timeout,
            final ConnectionPolicy use,
            final Consumer<ProbeResult> result) {
        final ChannelFuture connected = open(address, timeout);
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        final Channel opened = connected.channel();
                        loop.schedule(
                                () -> onSettled(opened, address, use, result),
                                use.firstUseDelay().toNanos(),
                                TimeUnit.NANOSECONDS);
                        return;
                    }
                    result.accept(resultOf(f.cause()));
                });
    }

    private void onSettled(
            final Channel opened,
            final InetSocketAddress address,
            final ConnectionPolicy use,
            final Consumer<ProbeResult> result) {
        final boolean stands = opened.isActive();
        idle.put(address, opened, Optional.empty(), use);
        result.accept(stands ? ProbeResult.ACCEPTED : ProbeResult.TURNED_AWAY);
    }

    private static ProbeResult resultOf(final Throwable cause) {
        if (wasReset(cause)) {
            return ProbeResult.TURNED_AWAY;
        }
        final boolean refused =
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return refused ? ProbeResult.REFUSED : ProbeResult.SILENT;
    }

    /**
     * Tells whether the server took the connection and reset it before this process had noticed
     * that it stands. Such a server is as well as one that resets it a moment later; taken for one
     * out of reach, it would get no request for a while.
     */
    private static boolean wasReset(final Throwable cause) {
        return cause instanceof SocketException
                && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException);
    }

    private ChannelFuture open(final InetSocketAddress address, final Duration timeout) {
        final ChannelFuture connected =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(KEEP_ALIVE_IDLE, KEEP_ALIVE_SECONDS)
                        .option(KEEP_ALIVE_INTERVAL, KEEP_ALIVE_SECONDS)
                        .option(KEEP_ALIVE_COUNT, KEEP_ALIVE_PROBES)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(final SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new StrictResponseDecoder())
                                                .addLast(new HttpRequestEncoder())
                                                .addLast(new ResponseHandler());
                                    }
                                })
                        .connect(address);
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        connectionsOpened++;
                        final Channel opened = connected.channel();
                        opened.closeFuture().addListener(c -> idle.forget(address, opened));
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
        final ChannelFuture connected = open(address, options.connectTimeout());
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        settle(connected.channel(), address, request, options, call, listener);
                        return;
                    }
                    notSent(
                            wasReset(f.cause())
                                    ? CallFailure.Phase.CONNECTION_REJECTED
                                    : CallFailure.Phase.NOT_SENT,
                            "cannot connect to " + address,
                            request,
                            call,
                            listener);
                });
    }

    /**
     * Waits for a moment before the call goes out on a new connection, if the call asks for it. A
     * server that has as many connections as it accepts takes a further one and resets it at once:
     * a request that was sent meanwhile is lost, and nobody can tell whether it ran.
     */
    private void settle(
            final Channel opened,
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final Call call,
            final ResponseListener listener) {
        final Duration settling = options.connection().firstUseDelay();
        if (settling.isZero()) {
            write(opened, address, request, options, call, listener);
            return;
        }
        loop.schedule(
                () -> {
                    if (opened.isActive()) {
                        write(opened, address, request, options, call, listener);
                    } else {
                        notSent(
                                CallFailure.Phase.CONNECTION_REJECTED,
                                "turned away by " + address,
                                request,
                                call,
                                listener);
                    }
                },
                settling.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private static void notSent(
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
            idle.put(address, channel, Optional.empty(), options.connection());
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
                keptFor -> idle.put(address, channel, keptFor, options.connection()));
        channel.writeAndFlush(request).addListener(f -> handler.requestWritten());
    }
}
