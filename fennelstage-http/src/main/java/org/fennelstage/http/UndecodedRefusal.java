package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Refuses the first request of a connection without decoding it, and closes the connection.
 *
 * <p>Costs a fraction of a decoded request. A connection that is closed without a response would
 * leave its caller in doubt whether the request has run.
 *
 * <p>Invariant: at most one response is written, after the first byte of a request. Not
 * thread-safe; confined to the event loop.
 */
final class UndecodedRefusal extends ChannelInboundHandlerAdapter {

    /** Time for which the connection of a caller that sends nothing stays open. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final Refusal refusal;
    private boolean refused;

    /**
     * Creates the handler of one connection.
     *
     * @param refusal the response
     */
    UndecodedRefusal(final Refusal refusal) {
        this.refusal = Objects.requireNonNull(refusal, "refusal is null");
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        context.channel()
                .eventLoop()
                .schedule(
                        () -> closeUnlessRefused(context),
                        MAX_WAIT.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object bytes) {
        ReferenceCountUtil.release(bytes);
        if (!refused) {
            refused = true;
            context.writeAndFlush(refusal.response()).addListener(LingeringClose.AFTER_WRITE);
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        context.close();
    }

    private void closeUnlessRefused(final ChannelHandlerContext context) {
        if (!refused) {
            context.close();
        }
    }
}
