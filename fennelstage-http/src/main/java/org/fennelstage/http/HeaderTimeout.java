package org.fennelstage.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Responds with 408 when a request's head is not complete within a time limit from its first byte.
 *
 * <p>A caller that sends the head byte by byte resets an idle timer with each byte, so only a limit
 * on the whole head stops it from holding a connection.
 *
 * <p>Placed before the decoder, with {@link #headListener()} after it.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class HeaderTimeout extends ChannelInboundHandlerAdapter {

    private static final byte[] RESPONSE =
            "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private final Duration timeout;
    private boolean inRequest;
    private ScheduledFuture<?> timer;

    HeaderTimeout(final Duration timeout) {
        this.timeout = timeout;
    }

    /** Returns whether a part of a request has been read, but not all of it. */
    boolean isReading() {
        return inRequest || timer != null;
    }

    ChannelHandler headListener() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(final ChannelHandlerContext context, final Object message) {
                if (message instanceof HttpRequest) {
                    inRequest = true;
                    cancel();
                }
                if (message instanceof LastHttpContent) {
                    inRequest = false;
                }
                context.fireChannelRead(message);
            }
        };
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (!inRequest && timer == null) {
            timer =
                    context.executor()
                            .schedule(
                                    () -> reject(context),
                                    timeout.toMillis(),
                                    TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }

    private void reject(final ChannelHandlerContext context) {
        context.writeAndFlush(context.alloc().buffer(RESPONSE.length).writeBytes(RESPONSE))
                .addListener(LingeringClose.AFTER_WRITE);
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
