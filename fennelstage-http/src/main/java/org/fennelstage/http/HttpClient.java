package org.fennelstage.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP/1.1 client with a pool of connections, bound to one event loop.
 *
 * <p>A request and all calls made for it share a loop, so their state needs no locks. Confined to
 * its event loop; {@link #send} may be called only there.
 */
public final class HttpClient {

    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

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
        request.headers()
                .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        final Call call = new Call();
        final Channel pooled = options.freshConnection() ? null : takeIdle(address);
        if (pooled != null) {
            write(pooled, address, request, options, call, listener);
        } else {
            connect(address, request, options, call, listener);
        }
        return call;
    }

    private void connect(
            final InetSocketAddress address,
            final FullHttpRequest request,
            final CallOptions options,
            final Call call,
            final ResponseListener listener) {
        final ChannelFuture connected =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) options.connectTimeout().toMillis())
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(final SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec())
                                                .addLast(new ResponseHandler());
                                    }
                                })
                        .connect(address);
        connected.addListener(
                f -> {
                    if (f.isSuccess()) {
                        write(connected.channel(), address, request, options, call, listener);
                        return;
                    }
                    request.release();
                    if (!call.isCancelled()) {
                        listener.onFailure(
                                new CallFailure(
                                        CallFailure.Phase.NOT_SENT,
                                        "cannot connect to " + address));
                    }
                });
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
            putIdle(address, channel);
            return;
        }
        call.attach(channel);
        channel.pipeline()
                .get(ResponseHandler.class)
                .begin(call, listener, options.silence(), () -> putIdle(address, channel));
        channel.writeAndFlush(request);
    }

    private Channel takeIdle(final InetSocketAddress address) {
        final Deque<Channel> channels = idle.get(address);
        while (channels != null && !channels.isEmpty()) {
            final Channel channel = channels.pollLast();
            if (channel.isActive()) {
                return channel;
            }
        }
        return null;
    }

    private void putIdle(final InetSocketAddress address, final Channel channel) {
        final Deque<Channel> channels = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (!channel.isActive() || channels.size() >= MAX_IDLE_PER_ADDRESS) {
            channel.close();
            return;
        }
        channels.addLast(channel);
    }
}
