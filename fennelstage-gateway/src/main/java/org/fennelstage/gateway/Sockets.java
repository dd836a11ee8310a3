package org.fennelstage.gateway;

import java.net.InetSocketAddress;
import org.fennelstage.fleet.ServerAddress;

/** Turns the core's addresses, which know no network, into those of sockets. Stateless. */
public final class Sockets {

    private Sockets() {}

    /**
     * Returns an address for a socket.
     *
     * @param address where somebody listens
     * @return the same for a socket
     */
    public static InetSocketAddress address(final ServerAddress address) {
        return new InetSocketAddress(address.host(), address.port());
    }
}
