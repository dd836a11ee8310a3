package org.fennelstage.vm;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.copy.RelayHandler;
import org.fennelstage.http.Call;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.Responses;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.store.FallbackStore;
import org.fennelstage.time.MonotonicClock;

/**
 * Forwards store calls of other VMs to the store without parsing them.
 *
 * <p>Equal reads that arrive together share one call, so that the VMs of a data centre that watch
 * the same revision need one watch. A VM that cannot reach the store rejects at once, since
 * relaying during an outage of the store would only multiply failing calls.
 *
 * <p>Invariant: each requester gets the store's own response, 503 if the call certainly did not
 * reach the store, 413 if the response is too large for all requesters, or a closed connection if
 * the outcome is unknown. Not thread-safe; confined to the event loop.
 */
final class StoreRelay implements RelayHandler {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Longer than any watch, so that the requesters time out first. */
    private static final Duration INACTIVITY_TIMEOUT = Duration.ofSeconds(35);

    /**
     * Age up to which a running call may be joined; milliseconds. It covers VMs that call again
     * after the same response, and keeps a call that hangs from collecting requesters.
     */
    private static final long JOIN_MILLIS = 500;

    /**
     * Limit of the time for which one shared response may occupy this VM's link; seconds. A
     * configuration of a thousand routes sent to twenty VMs would occupy a link of 10 Mbit/s for
     * ten seconds and delay callers. Requesters beyond the limit get 413 and call the store
     * directly.
     */
    private static final double SHARED_LINK_SECONDS = 0.4;

    private static final double BYTES_PER_MEGABIT = 125_000;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;
    private static final int TOO_MANY_CALLS = 429;

    private final HttpClient http;
    private final InetSocketAddress store;
    private final FallbackStore fallback;
    private final MonotonicClock clock;
    private final long shareableBytes;
    private final Map<String, RelayedCall> reads = new HashMap<>();

    /** All reads that the store has not answered, also those that can no longer be joined. */
    private final Set<RelayedCall> pendingReads = new HashSet<>();

    StoreRelay(
            final HttpClient http,
            final InetSocketAddress store,
            final FallbackStore fallback,
            final double linkMegabits,
            final MonotonicClock clock) {
        this.http = Objects.requireNonNull(http, "http is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.fallback = Objects.requireNonNull(fallback, "fallback is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.shareableBytes = (long) (linkMegabits * BYTES_PER_MEGABIT * SHARED_LINK_SECONDS);
    }

    @Override
    public void handle(final ServerExchange exchange) {
        final boolean isRead = exchange.method().equals(HttpMethod.GET.name());
        final RelayedCall running = isRead ? reads.get(exchange.uri()) : null;
        if (running != null && running.ageMillis(clock) < JOIN_MILLIS) {
            running.add(exchange);
            return;
        }
        if (!fallback.mayRelay()) {
            exchange.respond(SERVICE_UNAVAILABLE, "text/plain", "");
            return;
        }
        final RelayedCall call = new RelayedCall(clock, exchange);
        if (isRead) {
            reads.put(exchange.uri(), call);
            pendingReads.add(call);
        }
        call.attach(send(exchange, call));
    }

    @Override
    public void withdraw(final ServerExchange exchange) {
        List.copyOf(pendingReads).forEach(call -> call.remove(exchange));
    }

    private Call send(final ServerExchange exchange, final RelayedCall call) {
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
        final String uri = exchange.uri();
        call.onAbandoned(() -> onAbandoned(uri, call));
        return http.collect(
                store,
                request,
                CallOptions.of(CONNECT_TIMEOUT, INACTIVITY_TIMEOUT, false),
                whole -> onResponse(uri, call, whole),
                failure -> onFailure(uri, call, failure));
    }

    private void onResponse(
            final String uri, final RelayedCall call, final Responses.FullResponse whole) {
        forget(uri, call);
        if (whole.status() >= SERVER_ERROR || whole.status() == TOO_MANY_CALLS) {
            fallback.onRelayFailed("store responded with status " + whole.status());
        } else {
            fallback.onRelayed();
        }
        call.respond(whole, shareableBytes / Math.max(1, whole.body().length));
    }

    private void onFailure(final String uri, final RelayedCall call, final CallFailure failure) {
        forget(uri, call);
        fallback.onRelayFailed(failure.detail());
        call.fail(failure.phase() == CallFailure.Phase.NOT_SENT ? SERVICE_UNAVAILABLE : 0);
    }

    /** Removes a call that no requester waits for. */
    private void onAbandoned(final String uri, final RelayedCall call) {
        forget(uri, call);
    }

    private void forget(final String uri, final RelayedCall call) {
        reads.remove(uri, call);
        pendingReads.remove(call);
    }
}
