package org.fennelstage.http;

/** Answers requests. Called on the connection's event loop; must not block. */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Takes one request and answers it, now or later.
     *
     * @param exchange the request and the way to answer
     */
    void handle(ServerExchange exchange);
}
