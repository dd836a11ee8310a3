package org.fennelstage.peer;

import java.net.InetSocketAddress;

/**
 * Tells whether an address may be connected to. Tests cut VMs off with it; in service everything is
 * permitted.
 */
@FunctionalInterface
public interface Reachability {

    /** Permits every address. */
    Reachability ALL = address -> true;

    /**
     * Tells whether an address may be connected to.
     *
     * @param address the address
     * @return true if it may
     */
    boolean permits(InetSocketAddress address);
}
