package org.fennelstage.http;

/** Result of a probe of a server's address. Immutable and thread-safe. */
public enum ProbeResult {
    /** The server accepted the connection and kept it open. */
    ACCEPTED,
    /**
     * Nothing is known of the server, or it accepted the connection and closed it at once since it
     * is at its limit or stopping.
     */
    CLOSED,
    /** The connection was refused: no process listens at the address. */
    REFUSED,
    /** No response within the timeout: the machine or the network path may be down. */
    NO_RESPONSE
}
