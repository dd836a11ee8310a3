package org.fennelstage.peer;

import io.netty.handler.ssl.SslContext;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The TLS contexts of both sides, asked at each new connection so that renewed keys need no
 * restart.
 *
 * @param server for accepted connections
 * @param client for connections to others
 */
public record PeerTls(
        Supplier<Optional<SslContext>> server, Supplier<Optional<SslContext>> client) {

    /** No TLS; for loopback only. */
    public static final PeerTls NONE = new PeerTls(Optional::empty, Optional::empty);
}
