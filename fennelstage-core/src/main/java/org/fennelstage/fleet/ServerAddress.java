package org.fennelstage.fleet;

import java.util.Objects;

/**
 * The address where a backend server listens. Immutable and thread-safe.
 *
 * @param host the IP address
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

    /**
     * Parses {@code HOST:PORT}.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static ServerAddress parse(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is not HOST:PORT: " + text);
        }
        return new ServerAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
