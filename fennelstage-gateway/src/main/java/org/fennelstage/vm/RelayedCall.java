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
 * One call to the store on behalf of all VMs that asked for the same.
 *
 * <p>Invariant: each asker gets one answer. Confined to the event loop.
 */
final class RelayedCall {

    private static final int TOO_LARGE = 413;

    private static final Set<String> OF_THE_CONNECTION =
            Set.of("connection", "keep-alive", "content-length", "transfer-encoding", "date");

    private final long begunMillis;
    private final Set<ServerExchange> askers = new LinkedHashSet<>();
    private Runnable onAbandoned = () -> {};
    private Call call;

    RelayedCall(final MonotonicClock clock, final ServerExchange first) {
        begunMillis = clock.millis();
        add(Objects.requireNonNull(first, "first is null"));
    }

    long ageMillis(final MonotonicClock clock) {
        return clock.millis() - begunMillis;
    }

    void add(final ServerExchange asker) {
        askers.add(asker);
        asker.onClosed(() -> leave(asker));
    }

    /** Registers what to do when no asker is left that waits. */
    void onAbandoned(final Runnable action) {
        onAbandoned = action;
    }

    void attach(final Call made) {
        call = made;
        abandonIfUnwanted();
    }

    /**
     * Hands the answer on.
     *
     * @param whole the answer
     * @param most how many askers may get it, one at least; the others are told to ask by
     *     themselves
     */
    void answer(final Responses.Whole whole, final long most) {
        final Map<String, String> headers = endToEnd(whole.headers());
        long answered = 0;
        for (final ServerExchange asker : List.copyOf(askers)) {
            if (answered < Math.max(1, most)) {
                answered++;
                asker.respond(whole.status(), headers, whole.body());
            } else {
                asker.respond(TOO_LARGE, "text/plain", "");
            }
        }
        askers.clear();
    }

    /**
     * Returns the headers that belong to the answer and not to the connection that it came by. The
     * store says in one of them how often it has come back from an older copy; without it, VMs that
     * ask through this one would take answers of two histories for one.
     */
    private static Map<String, String> endToEnd(final HttpHeaders headers) {
        final Map<String, String> kept = new LinkedHashMap<>();
        for (final Map.Entry<String, String> header : headers) {
            if (!OF_THE_CONNECTION.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                kept.put(header.getKey(), header.getValue());
            }
        }
        return kept;
    }

    /**
     * Tells all askers that there is no answer.
     *
     * @param status the status to answer with; zero to close the connection
     */
    void fail(final int status) {
        for (final ServerExchange asker : List.copyOf(askers)) {
            if (status > 0) {
                asker.respond(status, "text/plain", "");
            } else {
                asker.abort();
            }
        }
        askers.clear();
    }

    private void leave(final ServerExchange asker) {
        askers.remove(asker);
        abandonIfUnwanted();
    }

    private void abandonIfUnwanted() {
        if (askers.isEmpty() && call != null) {
            call.cancel();
            onAbandoned.run();
        }
    }
}
