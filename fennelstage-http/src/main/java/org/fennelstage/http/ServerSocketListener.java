package org.fennelstage.http;

import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * A listening socket that stays open when accepting a connection fails.
 *
 * <p>Netty keeps it open on an {@link java.io.IOException} only, such as too many open files. An
 * error like a lack of memory would close it for good, and the process would go on without callers.
 * Not thread-safe; confined to its event loop.
 */
class ServerSocketListener extends NioServerSocketChannel {

    @Override
    protected boolean closeOnReadError(final Throwable cause) {
        return !isActive();
    }
}
