package org.fennelstage.vm;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.fennelstage.fleet.Load;
import org.fennelstage.id.BackendServerId;

/**
 * The loads of one message, as many as fit into its datagram.
 *
 * <p>Invariant: the message with these loads has at most {@link PeerMessenger#MAX_BYTES}. Not
 * thread-safe.
 */
final class LoadsInDatagram {

    private final Map<BackendServerId, Load> loads = new HashMap<>();
    private int remainingBytes;

    /**
     * Creates an empty set of loads.
     *
     * @param empty the message without loads
     */
    LoadsInDatagram(final PeerMessage empty) {
        remainingBytes = PeerMessenger.MAX_BYTES - bytes(empty.text());
    }

    /**
     * Adds the load at a backend server or replaces it, if it fits.
     *
     * @param server the backend server
     * @param load the load
     * @return whether it fits; otherwise nothing changes
     */
    boolean add(final BackendServerId server, final Load load) {
        final Load known = loads.get(server);
        final int knownBytes = known == null ? 0 : bytes(PeerMessage.loadText(server, known));
        final int bytes = bytes(PeerMessage.loadText(server, load)) - knownBytes;
        if (bytes > remainingBytes) {
            return false;
        }
        remainingBytes -= bytes;
        loads.put(server, load);
        return true;
    }

    /**
     * Returns the loads.
     *
     * @return the loads that were added
     */
    Map<BackendServerId, Load> loads() {
        return Map.copyOf(loads);
    }

    private static int bytes(final String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    @Override
    public String toString() {
        return "LoadsInDatagram" + loads;
    }
}
