package org.fennelstage.copy;

import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.ServerExchange;

/** Relays calls to the store. Confined to the event loop. */
public interface RelayHandler extends RequestHandler {

    /**
     * Stops waiting for the store on behalf of a call that was answered otherwise. A call to the
     * store that nobody else waits for is cancelled.
     *
     * @param exchange the call
     */
    void withdraw(ServerExchange exchange);
}
