package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;

/**
 * Counts the bodies of the requests of one connection, from their first part until the connection
 * has no request; refuses a request for which the shared memory does not suffice as not run.
 *
 * <p>Placed before the aggregator, which keeps the parts. Invariant: what was taken is given back
 * when the connection has no request or is closed. Not thread-safe; confined to the event loop.
 */
final class BodyMemory extends ChannelInboundHandlerAdapter {

    private final SharedMemory memory;
    private long taken;
    private boolean refused;

    BodyMemory(final SharedMemory memory) {
        this.memory = Objects.requireNonNull(memory, "memory is null");
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (refused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpContent content) {
            final int bytes = content.content().readableBytes();
            if (!memory.tryTake(bytes)) {
                refused = true;
                ReferenceCountUtil.release(message);
                context.fireUserEventTriggered(Refusal.NO_MEMORY);
                return;
            }
            taken += bytes;
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        giveBack();
        context.fireChannelInactive();
    }

    /** Gives back what the requests have taken that were handled. */
    void giveBack() {
        memory.giveBack(taken);
        taken = 0;
    }
}
