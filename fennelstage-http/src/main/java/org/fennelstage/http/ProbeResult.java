package org.fennelstage.http;

/** What became of an attempt to connect to a server. */
public enum ProbeResult {
    /** It took the connection: somebody listens there. */
    ACCEPTED,
    /** Its machine answered that nobody listens there. */
    REFUSED,
    /** Nothing came back: the machine, or the way to it, may be down. */
    SILENT
}
