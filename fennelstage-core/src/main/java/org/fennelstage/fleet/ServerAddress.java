package org.fennelstage.fleet;

import java.util.Objects;

/**
 * Where a worker listens. Immutable and thread-safe.
 *
 * @param host the IP number
 * @param port the TCP port
 */
public record ServerAddress(String host, int port) {

    private static final int MAX_PORT = 65_535;

    public ServerAddress {
        Objects.requireNonNull(host, "host is null");
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("no TCP port: " + port);
        }
    }

    /**
     * Parses {@code HOST:PORT}.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text has another form
     */
    public static ServerAddress parse(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        return new ServerAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
