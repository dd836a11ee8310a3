package org.fennelstage.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Refuses a request with 408 when its head is not complete within a time limit from its first byte.
 *
 * <p>A caller that sends the head byte by byte resets an idle timer with each byte, so only a limit
 * on the whole head stops it from holding a connection.
 *
 * <p>The status promises that the request never runs: {@link ConnectionHandler} handles nothing
 * that is read after a {@link Refusal}.
 *
 * <p>Placed before the decoder, with {@link #headListener()} after it.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class HeaderTimeout extends ChannelInboundHandlerAdapter {

    private final Duration timeout;
    private final BooleanSupplier hasPartialHead;
    private boolean inRequest;
    private ScheduledFuture<?> timer;

    /**
     * Creates a limit for one connection.
     *
     * @param timeout the time limit
     * @param hasPartialHead whether the decoder has read a part of a head
     */
    HeaderTimeout(final Duration timeout, final BooleanSupplier hasPartialHead) {
        this.timeout = timeout;
        this.hasPartialHead = hasPartialHead;
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
        startIfIdle(context);
        context.fireChannelRead(message);
    }

    /** Starts the limit of a head that began in the same read as the end of a request. */
    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
        if (hasPartialHead.getAsBoolean()) {
            startIfIdle(context);
        }
        context.fireChannelReadComplete();
    }

    private void startIfIdle(final ChannelHandlerContext context) {
        if (!inRequest && timer == null) {
            timer = schedule(context, () -> onDue(context), timeout.toMillis());
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }

    private static ScheduledFuture<?> schedule(
            final ChannelHandlerContext context, final Runnable task, final long millis) {
        return context.executor().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    private void onDue(final ChannelHandlerContext context) {
        timer = schedule(context, () -> reject(context), EventLoopPause.READ_TIME.toMillis());
    }

    private void reject(final ChannelHandlerContext context) {
        timer = null;
        context.fireUserEventTriggered(Refusal.HEADER_TIMEOUT);
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
