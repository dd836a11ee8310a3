package org.fennelstage.peer;

import io.netty.handler.ssl.SslContext;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Supplies the TLS contexts of peer connections. The suppliers are called for each new connection,
 * so that renewed keys take effect without a restart. Immutable and thread-safe if its suppliers
 * are thread-safe.
 *
 * @param server the context of accepted connections, empty for no TLS
 * @param client the context of outgoing connections, empty for no TLS
 */
public record PeerTls(
        Supplier<Optional<SslContext>> server, Supplier<Optional<SslContext>> client) {

    /** Disables TLS; for loopback only. */
    public static final PeerTls NONE = new PeerTls(Optional::empty, Optional::empty);
}
