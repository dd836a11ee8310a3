package org.fennelstage.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.fennelstage.fleet.TrackedServer;
import org.fennelstage.id.ServiceName;

/**
 * Sends one request through other VMs while this VM reaches none of the backend servers.
 *
 * <p>The other VM handles the request as one of its own callers': it chooses the backend server and
 * keeps to limits, drains and permits.
 *
 * <p>Invariants: a forwarded request is not forwarded again; each VM gets the request once. Not
 * thread-safe; confined to the event loop.
 */
final class Forwarding {

    /**
     * Failed connection attempts of a request after which another VM is asked, even if this VM
     * still seems to reach some backend servers: open connections may live on while new ones fail.
     */
    private static final int MAX_FAILED_CONNECTIONS = 3;

    private static final int MAX_PEERS = 8;

    private final RequestExecution execution;
    private final boolean allowed;
    private final Set<InetSocketAddress> tried = new HashSet<>();

    /**
     * Creates the forwarding of one request.
     *
     * @param execution the request
     * @param allowed false if the request was itself forwarded by another VM
     */
    Forwarding(final RequestExecution execution, final boolean allowed) {
        this.execution = Objects.requireNonNull(execution, "execution is null");
        this.allowed = allowed;
    }

    /**
     * Returns whether this VM reaches none of some backend servers, as far as it knows.
     *
     * @param candidates the backend servers that may get the request
     * @return true if there are some and all were unreachable
     */
    static boolean reachesNone(final List<TrackedServer> candidates) {
        return !candidates.isEmpty()
                && candidates.stream().allMatch(server -> server.health().isUnconfirmed());
    }

    /**
     * Starts an attempt through another VM if this VM cannot send the request itself.
     *
     * @param candidates the backend servers that may get the request
     * @param failedConnections how many of its connection attempts failed
     * @return false if the request is to be sent directly
     */
    boolean start(final List<TrackedServer> candidates, final int failedConnections) {
        final boolean needed =
                failedConnections >= MAX_FAILED_CONNECTIONS || reachesNone(candidates);
        if (!allowed || !needed || tried.size() >= MAX_PEERS) {
            return false;
        }
        final ServiceName service = execution.service();
        final ForwardingPeers peers = execution.gateway().forwardingPeers(service);
        final Optional<InetSocketAddress> peer = peers.choose(tried);
        if (peer.isEmpty()) {
            return false;
        }
        tried.add(peer.get());
        execution.sendThrough(new ForwardedAttempt(execution, peers, peer.get()));
        return true;
    }
}
