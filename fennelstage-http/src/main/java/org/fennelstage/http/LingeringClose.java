package org.fennelstage.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.ssl.SslHandler;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after a response that its caller may not expect to be the last, since it may
 * have sent more.
 *
 * <p>Closing a socket with unread bytes sends a reset, which can discard the response before the
 * caller has read it. So the output is shut down first, and input is read and discarded for a
 * moment before the close. An encrypted connection is closed at once, since its end is a message of
 * its own. Stateless and thread-safe.
 */
final class LingeringClose implements ChannelFutureListener {

    static final LingeringClose AFTER_WRITE = new LingeringClose();

    private static final long LINGER_MILLIS = 1_000;

    private LingeringClose() {}

    @Override
    public void operationComplete(final ChannelFuture written) {
        final Channel channel = written.channel();
        final boolean encrypted = channel.pipeline().get(SslHandler.class) != null;
        if (!written.isSuccess() || encrypted || !(channel instanceof DuplexChannel duplex)) {
            channel.close();
            return;
        }
        duplex.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
}
