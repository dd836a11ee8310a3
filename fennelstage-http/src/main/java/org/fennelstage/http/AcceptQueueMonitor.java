package org.fennelstage.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Measures for how long new connections have been waiting to be accepted.
 *
 * <p>The event loop accepts a limited number of connections at a time. If it accepts fewer, or none
 * when it could have read them, none was left waiting.
 *
 * <p>Written by the listener's event loop; {@link #delay} may be called from any thread.
 */
final class AcceptQueueMonitor extends ChannelInboundHandlerAdapter {

    private final int maxAccepted;
    private int accepted;
    private long batches;
    private volatile boolean waiting;
    private volatile long waitingSinceNanos;

    /**
     * Creates a monitor.
     *
     * @param maxAccepted the number of connections that are accepted at a time
     */
    AcceptQueueMonitor(final int maxAccepted) {
        this.maxAccepted = maxAccepted;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object connection) {
        accepted++;
        context.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
        onAccepted(accepted, System.nanoTime());
        accepted = 0;
        if (waiting) {
            final long batch = batches;
            context.channel()
                    .eventLoop()
                    .schedule(
                            () -> onTimeToAccept(batch),
                            EventLoopPause.READ_TIME.toMillis(),
                            TimeUnit.MILLISECONDS);
        }
        context.fireChannelReadComplete();
    }

    /** Records how many connections were accepted at a time. */
    void onAccepted(final int connections, final long nowNanos) {
        batches++;
        final boolean more = connections >= maxAccepted;
        if (more && !waiting) {
            waitingSinceNanos = nowNanos;
        }
        waiting = more;
    }

    /**
     * Records that the event loop has had time to accept connections after a batch.
     *
     * @param batch the value of {@link #batches} after it
     */
    private void onTimeToAccept(final long batch) {
        if (batch == batches) {
            waiting = false;
        }
    }

    /** Returns whether connections were left waiting. */
    boolean isWaiting() {
        return waiting;
    }

    /** Returns for how long connections have been waiting all the time; zero if none is. */
    Duration delay() {
        return waiting ? Duration.ofNanos(System.nanoTime() - waitingSinceNanos) : Duration.ZERO;
    }
}
