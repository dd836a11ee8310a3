package org.fennelstage.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after a refusal that was sent before the request was read whole.
 *
 * <p>A close with unread bytes resets the connection, and the reset may overtake the refusal: the
 * peer sees a broken connection and not why. So only the sending side is shut at first, and what
 * still comes is read and dropped for a while. Stateless and thread-safe.
 */
final class LingeringClose implements ChannelFutureListener {

    static final LingeringClose AFTER_WRITE = new LingeringClose();

    /** How long to drop what still comes; a peer reads a refusal well within it. */
    private static final long LINGER_MILLIS = 1_000;

    private LingeringClose() {}

    @Override
    public void operationComplete(final ChannelFuture written) {
        final Channel channel = written.channel();
        if (!written.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        duplex.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
}
