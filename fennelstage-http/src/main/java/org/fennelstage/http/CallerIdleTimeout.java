package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Reports a connection as idle when nothing was read from it or written to it for some time.
 *
 * <p>After a pause of the process the event loop runs due timers before it reads, so an idle
 * connection is reported only if a moment for reading passes without a request.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class CallerIdleTimeout extends IdleStateHandler {

    private boolean readSinceDue;

    /**
     * Creates the time limit of one connection.
     *
     * @param timeout the time without a read or a write
     */
    CallerIdleTimeout(final Duration timeout) {
        super(0, 0, timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message)
            throws Exception {
        readSinceDue = true;
        super.channelRead(context, message);
    }

    @Override
    protected void channelIdle(final ChannelHandlerContext context, final IdleStateEvent event) {
        readSinceDue = false;
        context.executor()
                .schedule(
                        () -> report(context, event),
                        EventLoopPause.READ_TIME.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void report(final ChannelHandlerContext context, final IdleStateEvent event) {
        if (!readSinceDue && !context.isRemoved()) {
            context.fireUserEventTriggered(event);
        }
    }
}
