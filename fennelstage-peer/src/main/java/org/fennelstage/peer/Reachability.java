package org.fennelstage.peer;

import java.net.InetSocketAddress;

/**
 * Decides which peer addresses messages may be sent to. Production code permits all; tests simulate
 * network partitions with it.
 */
@FunctionalInterface
public interface Reachability {

    /** Permits every address. */
    Reachability ALL = address -> true;

    /**
     * Returns whether messages may be sent to an address.
     *
     * @param address the address
     * @return whether sending is permitted
     */
    boolean permits(InetSocketAddress address);
}
