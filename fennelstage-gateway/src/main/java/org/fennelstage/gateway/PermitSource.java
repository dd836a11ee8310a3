package org.fennelstage.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import org.fennelstage.fleet.ServerEntry;
import org.fennelstage.permit.PermitTerms;

/** Gives permits that limit the requests of all VMs at one backend server. */
@FunctionalInterface
public interface PermitSource {

    /**
     * Asks for a permit.
     *
     * @param server the backend server
     * @param terms what the request needs
     * @param timeout how long to wait for the reply
     * @param listener receives the reply exactly once, on the event loop; possibly before this
     *     method returns
     */
    void request(
            ServerEntry server, PermitTerms terms, Duration timeout, Consumer<Permit> listener);
}
