package org.fennelstage.vm;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fennelstage.http.Call;
import org.fennelstage.http.Responses;
import org.fennelstage.http.ServerExchange;
import org.fennelstage.time.MonotonicClock;

/**
 * One call to the store, shared by all VMs that requested the same.
 *
 * <p>Invariant: each requester gets one response or a closed connection. Not thread-safe; confined
 * to the event loop.
 */
final class RelayedCall {

    private static final int TOO_LARGE = 413;

    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of("connection", "keep-alive", "content-length", "transfer-encoding", "date");

    private final long startMillis;
    private final Set<ServerExchange> requesters = new LinkedHashSet<>();
    private Runnable onAbandoned = () -> {};
    private Call call;

    RelayedCall(final MonotonicClock clock, final ServerExchange first) {
        startMillis = clock.millis();
        add(Objects.requireNonNull(first, "first is null"));
    }

    long ageMillis(final MonotonicClock clock) {
        return clock.millis() - startMillis;
    }

    void add(final ServerExchange requester) {
        requesters.add(requester);
        requester.onClosed(() -> onClosed(requester));
    }

    /** Removes a requester that was answered otherwise. */
    void remove(final ServerExchange requester) {
        if (requesters.remove(requester)) {
            abandonIfUnused();
        }
    }

    /** Sets the action to run when no requester is left. */
    void onAbandoned(final Runnable action) {
        onAbandoned = action;
    }

    void attach(final Call made) {
        call = made;
        abandonIfUnused();
    }

    /**
     * Sends the response to the requesters.
     *
     * @param whole the response of the store
     * @param maxResponses how many requesters may get it, at least one; the others get 413 and call
     *     the store directly
     */
    void respond(final Responses.FullResponse whole, final long maxResponses) {
        final Map<String, String> headers = endToEnd(whole.headers());
        long responded = 0;
        for (final ServerExchange requester : List.copyOf(requesters)) {
            if (responded < Math.max(1, maxResponses)) {
                responded++;
                requester.respond(whole.status(), headers, whole.body());
            } else {
                requester.respond(TOO_LARGE, "text/plain", "");
            }
        }
        requesters.clear();
    }

    /**
     * Returns the end-to-end headers. One of them carries the store's era, without which VMs behind
     * this relay could mix responses of two eras.
     */
    private static Map<String, String> endToEnd(final HttpHeaders headers) {
        final Map<String, String> kept = new LinkedHashMap<>();
        for (final Map.Entry<String, String> header : headers) {
            if (!HOP_BY_HOP_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                kept.put(header.getKey(), header.getValue());
            }
        }
        return kept;
    }

    /**
     * Fails the call for all requesters.
     *
     * @param status the status to respond with; zero to close the connection
     */
    void fail(final int status) {
        for (final ServerExchange requester : List.copyOf(requesters)) {
            if (status > 0) {
                requester.respond(status, "text/plain", "");
            } else {
                requester.abort();
            }
        }
        requesters.clear();
    }

    private void onClosed(final ServerExchange requester) {
        requesters.remove(requester);
        abandonIfUnused();
    }

    private void abandonIfUnused() {
        if (requesters.isEmpty() && call != null) {
            call.cancel();
            onAbandoned.run();
        }
    }
}
