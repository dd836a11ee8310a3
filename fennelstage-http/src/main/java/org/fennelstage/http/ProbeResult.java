package org.fennelstage.http;

/** What became of an attempt to connect to a server. */
public enum ProbeResult {
    /** It took the connection and keeps it: somebody listens there. */
    ACCEPTED,
    /**
     * It took the connection and closed it at once: it has as many as it accepts, or it is ending.
     */
    TURNED_AWAY,
    /** Its machine answered that nobody listens there. */
    REFUSED,
    /** Nothing came back: the machine, or the way to it, may be down. */
    SILENT
}
