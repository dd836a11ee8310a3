package org.fennelstage.gateway;

import java.net.InetSocketAddress;
import org.fennelstage.fleet.ServerAddress;

/**
 * Converts addresses of the core, which has no network types, to socket addresses. Stateless and
 * thread-safe.
 */
public final class Sockets {

    private Sockets() {}

    /**
     * Returns the socket address for a server address.
     *
     * @param address the server address
     * @return the socket address
     */
    public static InetSocketAddress address(final ServerAddress address) {
        return new InetSocketAddress(address.host(), address.port());
    }
}
