package org.fennelstage.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.regex.Pattern;
import org.fennelstage.http.ServerExchange;

/**
 * The response to the caller, as far as it has been sent.
 *
 * <p>A stream keeps the head of the first backend server whose event reached the caller; later
 * backend servers only add events.
 *
 * <p>Invariant: the caller receives whole events, each once and in order.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class CallerResponse {

    /** Control characters, which a header cannot carry. */
    private static final Pattern UNSENDABLE = Pattern.compile("[\\x00-\\x08\\x0a-\\x1f\\x7f]");

    private final ServerExchange exchange;
    private final Runnable onFirstByte;
    private boolean started;
    private Optional<String> lastEventId = Optional.empty();

    CallerResponse(final ServerExchange exchange, final Runnable onFirstByte) {
        this.exchange = exchange;
        this.onFirstByte = onFirstByte;
    }

    /** Returns whether the head of the response has been sent. */
    boolean started() {
        return started;
    }

    /**
     * Returns the id of the last event sent to the caller, empty if no event with an id was sent.
     */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Returns whether another backend server can continue the response: nothing has been sent, or
     * the id of the last event can be sent to it.
     */
    boolean mayContinue() {
        return lastEventId.filter(id -> UNSENDABLE.matcher(id).find()).isEmpty();
    }

    /**
     * Sends one event.
     *
     * @param head the head of the backend server's response, used if none has been sent yet
     * @param event the event including its blank line
     * @param id the id of the event, if it has one
     * @return false if the caller reads more slowly than events arrive
     */
    boolean event(final ResponseHead head, final byte[] event, final Optional<String> id) {
        start(head.status(), head.headers());
        id.ifPresent(i -> lastEventId = Optional.of(i));
        exchange.write(Unpooled.wrappedBuffer(event));
        return exchange.isWritable();
    }

    /** Ends a stream. */
    void end(final ResponseHead head) {
        start(head.status(), head.headers());
        exchange.end();
    }

    /** Sends a complete response. */
    void complete(final ResponseHead head, final byte[] body) {
        started = true;
        onFirstByte.run();
        exchange.respond(head.status(), head.headers(), body);
    }

    private void start(final int status, final HttpHeaders headers) {
        if (started) {
            return;
        }
        started = true;
        onFirstByte.run();
        exchange.begin(status, headers);
    }
}
