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
 * Answers 408 when the head of a request is not complete some time after its first byte.
 *
 * <p>A peer that sends a header a byte at a time would hold a connection and its memory for as long
 * as it likes; each byte resets an idle timer, so only a limit on the whole head ends it.
 *
 * <p>Stands before the decoder, with {@link #headListener()} behind it. Confined to the
 * connection's event loop.
 */
final class HeaderTimeout extends ChannelInboundHandlerAdapter {

    private static final byte[] RESPONSE =
            "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private final Duration limit;
    private boolean inRequest;
    private ScheduledFuture<?> timer;

    HeaderTimeout(final Duration limit) {
        this.limit = limit;
    }

    /** Tells whether a part of a request has been read. */
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
                                    () -> refuse(context), limit.toMillis(), TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }

    private void refuse(final ChannelHandlerContext context) {
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
