package org.fennelstage.fleet;

import java.util.Objects;

/**
 * The address where a backend server listens. Immutable and thread-safe.
 *
 * @param host the IP address, in brackets if it is one of IPv6
 * @param port the TCP port
 */
public record ServerAddress(String host, int port) {

    private static final int MAX_PORT = 65_535;

    public ServerAddress {
        Objects.requireNonNull(host, "host is null");
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "TCP port out of range 1.." + MAX_PORT + ": " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
