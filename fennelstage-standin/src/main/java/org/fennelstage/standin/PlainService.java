package org.fennelstage.standin;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fennelstage.http.HttpServer;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.http.ServerLimits;
import org.fennelstage.objects.Json;

/**
 * A stand-in service that responds with the method, URI and body size of a request. {@code GET
 * /admin/executions} lists the requests that ran.
 *
 * <p>Thread-safe; one monitor guards the list of executions.
 */
public final class PlainService implements AutoCloseable {

    private final List<ModelEngine.Execution> executions = new ArrayList<>();
    private HttpServer server;

    private PlainService() {}

    /**
     * Starts a service.
     *
     * @param group the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @return the running service
     * @throws IOException if the address cannot be bound
     */
    public static PlainService start(final EventLoopGroup group, final InetSocketAddress address)
            throws IOException {
        final PlainService service = new PlainService();
        service.server = HttpServer.start(group, address, ServerLimits.DEFAULT, service::handle);
        return service;
    }

    public int port() {
        return server.port();
    }

    /**
     * Returns all requests that ran, in the order of their start.
     *
     * @return an immutable copy of the executions
     */
    public synchronized List<ModelEngine.Execution> executions() {
        return List.copyOf(executions);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(final ServerExchange exchange) {
        if (exchange.path().equals("/admin/executions")) {
            exchange.respond(
                    200, Map.of("content-type", "application/json"), Json.write(executions()));
            return;
        }
        final var headers = exchange.headers();
        synchronized (this) {
            executions.add(
                    new ModelEngine.Execution(
                            headers.get("x-request-id", ""),
                            headers.get("idempotency-key", ""),
                            "",
                            System.currentTimeMillis()));
        }
        exchange.respond(
                200,
                "text/plain",
                exchange.method() + " " + exchange.uri() + " " + exchange.body().length + "\n");
    }
}
