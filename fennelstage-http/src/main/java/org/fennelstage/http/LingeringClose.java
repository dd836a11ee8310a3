package org.fennelstage.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after a rejection that was sent before the whole request was read.
 *
 * <p>Closing a socket with unread bytes sends a reset, which can discard the response before the
 * caller has read it. So the output is shut down first, and input is read and discarded for a
 * moment before the close. Stateless and thread-safe.
 */
final class LingeringClose implements ChannelFutureListener {

    static final LingeringClose AFTER_WRITE = new LingeringClose();

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
