package org.fennelstage.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.fennelstage.http.ServerExchange;

/**
 * What the caller has got of its answer.
 *
 * <p>A stream keeps the head of the first worker whose event reached the caller; later workers only
 * add events. Invariant: the caller sees whole events, each once, in order. Confined to the event
 * loop.
 */
final class CallerAnswer {

    private final ServerExchange exchange;
    private final Runnable onFirstByte;
    private boolean started;
    private Optional<String> lastEventId = Optional.empty();

    CallerAnswer(final ServerExchange exchange, final Runnable onFirstByte) {
        this.exchange = exchange;
        this.onFirstByte = onFirstByte;
    }

    /** Tells whether the head of the answer has gone to the caller. */
    boolean started() {
        return started;
    }

    /** Returns the last event that the caller has, empty if it has none. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /**
     * Sends one event.
     *
     * @param head the head of the worker's answer, used if the caller has none yet
     * @param event the event with its blank line
     * @param id its id, if it has one
     * @return false if the caller reads more slowly than events come
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

    /** Sends a whole answer. */
    void whole(final ResponseHead head, final byte[] body) {
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
