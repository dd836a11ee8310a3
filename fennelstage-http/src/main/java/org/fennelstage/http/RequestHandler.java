package org.fennelstage.http;

/** Handles requests. Called on the connection's event loop; must not block. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles one request; may respond after it has returned.
     *
     * @param exchange the request and its response
     */
    void handle(ServerExchange exchange);
}
