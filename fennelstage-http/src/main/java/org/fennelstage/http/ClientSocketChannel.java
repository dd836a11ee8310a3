package org.fennelstage.http;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A connection to a server, whose failure can be seen after the end of input too.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class ClientSocketChannel extends NioSocketChannel {

    /**
     * Returns whether the connection has failed, in particular was reset. A read does not show this
     * once the server has closed its side: it reports the end of input in both cases.
     *
     * @return true if it has failed, is closed, or its state cannot be determined
     */
    boolean hasFailed() {
        try (Selector selector = javaChannel().provider().openSelector()) {
            // A connected channel is selected for this operation only if it has an error pending.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (final IOException e) {
            return true;
        }
    }
}
