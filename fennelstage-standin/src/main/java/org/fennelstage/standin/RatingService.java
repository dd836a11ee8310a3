package org.fennelstage.standin;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.fennelstage.http.HttpServer;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.http.ServerLimits;

/**
 * A stand-in rating service: {@code POST /v1/ratings} with an answer as body returns {@code
 * {"rating":0.87}} after a delay. Thread-safe.
 */
public final class RatingService implements AutoCloseable {

    private final long delayMillis;
    private HttpServer server;

    private RatingService(final long delayMillis) {
        this.delayMillis = delayMillis;
    }

    /**
     * Starts a service.
     *
     * @param group the event loops
     * @param address the address to listen on; port 0 selects a free port
     * @param delayMillis the delay of each rating, in milliseconds
     * @return the running service
     * @throws IOException if the address cannot be bound
     */
    public static RatingService start(
            final EventLoopGroup group, final InetSocketAddress address, final long delayMillis)
            throws IOException {
        final RatingService service = new RatingService(delayMillis);
        service.server = HttpServer.start(group, address, ServerLimits.DEFAULT, service::handle);
        return service;
    }

    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(final ServerExchange exchange) {
        final String answer = new String(exchange.body(), StandardCharsets.UTF_8);
        final double rating = Marks.read(answer, "q").orElse(0);
        exchange.eventLoop()
                .schedule(
                        () ->
                                exchange.respond(
                                        200, "application/json", "{\"rating\":" + rating + "}"),
                        delayMillis,
                        TimeUnit.MILLISECONDS);
    }
}
