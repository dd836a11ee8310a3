package org.fennelstage.vm;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.Responses;
import org.fennelstage.http.ServerExchange;

/**
 * Passes other VMs' calls on to the store, unread.
 *
 * <p>A VM that does not reach the store itself refuses at once: while the store is away for all,
 * calls passed on to it would only multiply the calls that are made in vain.
 *
 * <p>Invariant: the asker gets the store's own answer, 503 if the call certainly did not reach the
 * store, or a closed connection if nobody knows. Confined to the event loop.
 */
final class StoreRelay implements RequestHandler {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Longer than any watch; the asker gives up first. */
    private static final Duration SILENCE = Duration.ofSeconds(35);

    private static final int NOT_REACHED = 503;

    private final HttpClient http;
    private final InetSocketAddress store;
    private final BooleanSupplier reachesStore;

    StoreRelay(
            final HttpClient http,
            final InetSocketAddress store,
            final BooleanSupplier reachesStore) {
        this.http = Objects.requireNonNull(http, "http is null");
        this.reachesStore = Objects.requireNonNull(reachesStore, "reachesStore is null");
        this.store = Objects.requireNonNull(store, "store is null");
    }

    @Override
    public void handle(final ServerExchange exchange) {
        if (!reachesStore.getAsBoolean()) {
            exchange.respond(NOT_REACHED, "text/plain", "");
            return;
        }
        final FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(exchange.method()),
                        exchange.uri(),
                        Unpooled.wrappedBuffer(exchange.body()));
        final String type = exchange.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        http.send(
                store,
                request,
                CallOptions.of(CONNECT_TIMEOUT, SILENCE, false),
                Responses.collecting(
                        whole -> answer(exchange, whole), failure -> fail(exchange, failure)));
    }

    private static void answer(final ServerExchange exchange, final Responses.Whole whole) {
        exchange.respond(
                whole.status(),
                Map.of(HttpHeaderNames.CONTENT_TYPE.toString(), "application/json"),
                whole.body());
    }

    private static void fail(final ServerExchange exchange, final CallFailure failure) {
        if (failure.phase() == CallFailure.Phase.NOT_SENT) {
            exchange.respond(NOT_REACHED, "text/plain", "");
        } else {
            exchange.abort();
        }
    }
}
