package org.fennelstage.vm;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.function.BiConsumer;
import org.fennelstage.fleet.Departure;
import org.fennelstage.id.VmId;

/**
 * Reports to all other VMs that the store shows a backend server as draining or removed.
 *
 * <p>The VMs of a data centre read the store through one of them. If it hangs, the others notice
 * only after most of the time for which a draining server may still get requests. Reports from
 * other data centres, and from VMs that read the store directly, do not depend on it.
 *
 * <p>Invariant: the messages about one departure do not grow with the number of VMs per data centre
 * other than by their recipients. Not thread-safe; confined to the event loop.
 */
final class DepartureReports {

    /** VMs of each data centre that report a departure; one may hang or lose the message. */
    static final int REPORTERS = 2;

    private final VmId own;
    private final Peers peers;
    private final BiConsumer<PeerMessage, List<InetSocketAddress>> send;

    DepartureReports(
            final VmId own,
            final Peers peers,
            final BiConsumer<PeerMessage, List<InetSocketAddress>> send) {
        this.own = Objects.requireNonNull(own, "own is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.send = Objects.requireNonNull(send, "send is null");
    }

    /** Handles a departure that this VM has read from the store. */
    void onDeparture(final Departure departure) {
        if (isReporter(departure)) {
            send.accept(new PeerMessage.Departed(departure), peers.allPeers());
        }
    }

    private boolean isReporter(final Departure departure) {
        final String task = "departure of " + departure.server();
        return peers.rankedInDataCentre(task).stream().limit(REPORTERS).anyMatch(own::equals);
    }
}
