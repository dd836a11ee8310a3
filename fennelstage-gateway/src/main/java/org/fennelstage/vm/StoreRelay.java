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
import java.util.Map;
import java.util.Objects;
import org.fennelstage.http.Call;
import org.fennelstage.http.CallFailure;
import org.fennelstage.http.CallOptions;
import org.fennelstage.http.HttpClient;
import org.fennelstage.http.RequestHandler;
import org.fennelstage.http.Responses;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.store.FallbackStore;
import org.fennelstage.time.MonotonicClock;

/**
 * Passes other VMs' calls on to the store, unread.
 *
 * <p>Reads that are alike and come together are one call to the store, whose answer goes to all who
 * asked: the VMs of a data centre that watch the same revision pay for one watch. A VM that does
 * not reach the store itself refuses at once: while the store is away for all, calls passed on to
 * it would only multiply the calls that are made in vain.
 *
 * <p>Invariant: each asker gets the store's own answer, 503 if the call certainly did not reach the
 * store, 413 if the answer is too large for all who asked, or a closed connection if nobody knows.
 * Confined to the event loop.
 */
final class StoreRelay implements RequestHandler {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    /** Longer than any watch; the askers give up first. */
    private static final Duration SILENCE = Duration.ofSeconds(35);

    /**
     * How old a call may be for others to join it; milliseconds. VMs that heard the same answer ask
     * again within moments of one another. A call that the store swallowed must not collect new
     * askers for ever, each of which would wait in vain.
     */
    private static final long JOIN_MILLIS = 500;

    /**
     * How long one answer may take this VM's link when it goes to all who asked; seconds. A
     * configuration of a thousand routes sent to twenty VMs would hold a link of 10 Mbit/s for ten
     * seconds, and callers with it; those beyond this ask the store by themselves.
     */
    private static final double SHARED_LINK_SECONDS = 0.4;

    private static final double BYTES_PER_MEGABIT = 125_000;

    private static final int NOT_REACHED = 503;
    private static final int SERVER_ERROR = 500;
    private static final int TOO_MANY_CALLS = 429;

    private final HttpClient http;
    private final InetSocketAddress store;
    private final FallbackStore reach;
    private final MonotonicClock clock;
    private final long shareableBytes;
    private final Map<String, RelayedCall> reads = new HashMap<>();

    StoreRelay(
            final HttpClient http,
            final InetSocketAddress store,
            final FallbackStore reach,
            final double linkMegabits,
            final MonotonicClock clock) {
        this.http = Objects.requireNonNull(http, "http is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.reach = Objects.requireNonNull(reach, "reach is null");
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
        if (!reach.mayRelay()) {
            exchange.respond(NOT_REACHED, "text/plain", "");
            return;
        }
        final RelayedCall read = new RelayedCall(clock, exchange);
        if (isRead) {
            reads.put(exchange.uri(), read);
        }
        read.attach(send(exchange, read));
    }

    private Call send(final ServerExchange exchange, final RelayedCall read) {
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
        read.onAbandoned(() -> onAbandoned(uri, read));
        return http.send(
                store,
                request,
                CallOptions.of(CONNECT_TIMEOUT, SILENCE, false),
                Responses.collecting(
                        whole -> onAnswer(uri, read, whole),
                        failure -> onFailure(uri, read, failure)));
    }

    private void onAnswer(final String uri, final RelayedCall read, final Responses.Whole whole) {
        reads.remove(uri, read);
        if (whole.status() >= SERVER_ERROR || whole.status() == TOO_MANY_CALLS) {
            reach.onRelayFailed("store answered " + whole.status());
        } else {
            reach.onRelayed();
        }
        read.answer(whole, shareableBytes / Math.max(1, whole.body().length));
    }

    private void onFailure(final String uri, final RelayedCall read, final CallFailure failure) {
        reads.remove(uri, read);
        reach.onRelayFailed(failure.detail());
        read.fail(failure.phase() == CallFailure.Phase.NOT_SENT ? NOT_REACHED : 0);
    }

    /** All who asked gave up waiting: the store keeps silent, or they left. */
    private void onAbandoned(final String uri, final RelayedCall read) {
        reads.remove(uri, read);
    }
}
